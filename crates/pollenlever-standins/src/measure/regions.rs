use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::recovery_text;
use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial};
use crate::relay::{LinkState, Place};

/// Load, as a share of the capacity.
const LOAD: f64 = 0.5;
/// Seconds with all links up.
const CALM_SECS: f64 = 5.0;
/// Seconds with the links between regions cut.
const CUT_SECS: f64 = 6.0;
/// Seconds after they are back.
const BACK_SECS: f64 = 5.0;
/// Time after the start that is not counted.
const SETTLE: Duration = Duration::from_secs(1);
/// Share of the goodput before that must be kept while the links are cut.
const MIN_SHARE: f64 = 0.9;

/// The links between regions are cut, then come back.
pub(super) struct Regions;

struct Figures {
    before: f64,
    cut: f64,
    bytes_a_good: f64,
    recovery: Option<Duration>,
}

impl Measurement for Regions {
    fn name(&self) -> &'static str {
        "regions"
    }

    fn summary(&self) -> &'static str {
        "links between regions cut: >= 90% of goodput kept; fewer bytes across than naive"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let held = ours.cut >= MIN_SHARE * ours.before && ours.bytes_a_good <= naive.bytes_a_good;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.4}", ours.cut))
            .figure("naive", format!("{:.4}", naive.cut))
            .figure("before", format!("{:.4}", ours.before))
            .figure("bytes_a_good", format!("{:.0}", ours.bytes_a_good))
            .figure("naive_bytes_a_good", format!("{:.0}", naive.bytes_a_good))
            .figure("recovery_s", recovery_text(ours.recovery))
            .figure("naive_recovery_s", recovery_text(naive.recovery)))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName) -> Result<Figures, MeasureError> {
    let trial = Trial::start(options, policy, |_| {})?;
    let rate = LOAD * trial.capacity;
    let spec = trial.load(vec![
        Phase::new(rate, CALM_SECS),
        Phase::new(rate, CUT_SECS),
        Phase::new(rate, BACK_SECS),
    ]);
    let cut = spec.phases[0].length;
    let back = cut + spec.phases[1].length;
    let end = spec.length();
    let run = trial.send(spec)?;
    run.sleep_until(SETTLE);
    let bytes_at_start = region_bytes(&trial);
    run.sleep_until(cut);
    let bytes = region_bytes(&trial) - bytes_at_start;
    set_links(&trial, LinkState::Cut);
    run.sleep_until(back);
    set_links(&trial, LinkState::Up);
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.series());
    println!("{policy:?}: answers {:?}", report.answers(cut, end));
    let before = report.good_share(SETTLE, cut);
    let good = report.between(SETTLE, cut).filter(|it| it.good).count();
    Ok(Figures {
        before,
        cut: report.good_share(cut, back),
        bytes_a_good: bytes as f64 / good.max(1) as f64,
        recovery: report.recovery(back, end, before),
    })
}

fn region_bytes(trial: &Trial) -> u64 {
    trial.cluster.links().map_or(0, |it| it.region_bytes())
}

/// Sets the state of all links between regions.
fn set_links(trial: &Trial, state: LinkState) {
    let Some(links) = trial.cluster.links() else { return };
    let places: Vec<Place> = trial.cluster.machines.iter().map(|it| it.place).collect();
    for &a in &places {
        for &b in places.iter().filter(|it| it.region != a.region) {
            links.set(a, b, state);
        }
    }
}

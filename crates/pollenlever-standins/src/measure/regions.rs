use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::format_recovery;
use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};
use crate::relay::{LinkState, Location};

/// Load, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 0.5;
/// Length of the phase before the cut, in seconds.
const BEFORE_SECS: f64 = 5.0;
/// Length of the phase in which the links between regions are cut, in seconds.
const CUT_SECS: f64 = 6.0;
/// Length of the phase after the links are restored, in seconds.
const AFTER_SECS: f64 = 5.0;
/// Warm-up time at the start; requests that arrive in it are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Smallest share of good requests while the links are cut, relative to that before.
const MIN_RELATIVE_GOODPUT: f64 = 0.9;

/// The links between regions are cut and later restored.
pub(super) struct Regions;

struct Figures {
    /// Share of good requests before the cut.
    before: f64,
    /// Share of good requests during the cut.
    during_cut: f64,
    /// Bytes sent between regions before the cut, for each good request.
    bytes_per_good_request: f64,
    recovery: Option<Duration>,
}

impl Measurement for Regions {
    fn name(&self) -> &'static str {
        "regions"
    }

    fn summary(&self) -> &'static str {
        "links between regions cut: >= 90% of goodput kept; no more cross-region bytes than naive"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let held = ours.during_cut >= MIN_RELATIVE_GOODPUT * ours.before
            && ours.bytes_per_good_request <= naive.bytes_per_good_request;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.4}", ours.during_cut))
            .figure("naive", format!("{:.4}", naive.during_cut))
            .figure("before", format!("{:.4}", ours.before))
            .figure("bytes_a_good", format!("{:.0}", ours.bytes_per_good_request))
            .figure("naive_bytes_a_good", format!("{:.0}", naive.bytes_per_good_request))
            .figure("recovery_s", format_recovery(ours.recovery))
            .figure("naive_recovery_s", format_recovery(naive.recovery)))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    let rate = LOAD_FACTOR * trial.capacity;
    let spec = trial.load_spec(vec![
        Phase::new(rate, BEFORE_SECS),
        Phase::new(rate, CUT_SECS),
        Phase::new(rate, AFTER_SECS),
    ]);
    let cut_at = spec.phases[0].duration;
    let restored_at = cut_at + spec.phases[1].duration;
    let end = spec.duration();
    let run = trial.send(spec)?;
    run.sleep_until(WARM_UP);
    let bytes_at_start = cross_region_bytes(&trial);
    run.sleep_until(cut_at);
    let bytes = cross_region_bytes(&trial) - bytes_at_start;
    set_links(&trial, LinkState::Cut);
    run.sleep_until(restored_at);
    set_links(&trial, LinkState::Up);
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    println!("{policy:?}: answers {:?}", report.answers_by_reason(cut_at, end));
    let before = report.good_share(WARM_UP, cut_at);
    let good = report.arrived_between(WARM_UP, cut_at).filter(|it| it.good).count();
    Ok(Figures {
        before,
        during_cut: report.good_share(cut_at, restored_at),
        bytes_per_good_request: bytes as f64 / good.max(1) as f64,
        recovery: report.recovery_time(restored_at, end, before),
    })
}

/// Bytes that have crossed between regions so far.
fn cross_region_bytes(trial: &LoadTrial) -> u64 {
    trial.cluster.links().map_or(0, |it| it.cross_region_bytes())
}

/// Sets the state of all links between regions.
fn set_links(trial: &LoadTrial, state: LinkState) {
    let Some(links) = trial.cluster.links() else { return };
    let locations: Vec<Location> = trial.cluster.machines.iter().map(|it| it.location).collect();
    for &a in &locations {
        for &b in locations.iter().filter(|it| it.region != a.region) {
            links.set(a, b, state);
        }
    }
}

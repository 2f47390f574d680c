use std::time::Duration;

use pollenlever::settings::PolicyName;
use pollenlever_core::config::Importance;

use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial};

/// Seconds at capacity before the overload.
const CALM_SECS: f64 = 5.0;
/// Seconds of overload.
const OVERLOAD_SECS: f64 = 20.0;
/// Seconds of overload of the naive run.
const NAIVE_SECS: f64 = 8.0;
/// Seconds after the start and the step that are not counted.
const SETTLE: Duration = Duration::from_secs(1);

/// Twice the capacity for 20 s, calls four deep.
pub(super) struct Overload;

struct Figures {
    calm: f64,
    overload: f64,
    critical: f64,
}

impl Measurement for Overload {
    fn name(&self) -> &'static str {
        "overload"
    }

    fn summary(&self) -> &'static str {
        "2x capacity for 20 s: goodput >= 90% of that at 1x and >= 2x naive, critical >= 99% good"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever, OVERLOAD_SECS)?;
        let naive = trial(options, PolicyName::Naive, NAIVE_SECS)?;
        let held = ours.overload >= 0.9 * ours.calm
            && ours.overload >= 2.0 * naive.overload
            && ours.critical >= 0.99;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.1}", ours.overload))
            .figure("naive", format!("{:.1}", naive.overload))
            .figure("at_1x", format!("{:.1}", ours.calm))
            .figure("critical", format!("{:.4}", ours.critical))
            .figure("naive_critical", format!("{:.4}", naive.critical))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName, secs: f64) -> Result<Figures, MeasureError> {
    let trial = Trial::start(options, policy, |_| {})?;
    let phases =
        vec![Phase::new(trial.capacity, CALM_SECS), Phase::new(2.0 * trial.capacity, secs)];
    let spec = trial.load(phases);
    let (calm, end) = (spec.phases[0].length, spec.length());
    let report = trial.run(spec)?;
    println!("{policy:?}: good by second {:?}", report.series());
    println!("{policy:?}: answers {:?}", report.answers(calm, end));
    for importance in Importance::ALL {
        let share = report.good_share_of(importance, calm, end);
        println!("{policy:?}: {} good {share:.3}", importance.as_str());
    }
    Ok(Figures {
        calm: report.goodput(SETTLE, calm),
        overload: report.goodput(calm, end),
        critical: report.good_share_of(Importance::Critical, calm, end),
    })
}

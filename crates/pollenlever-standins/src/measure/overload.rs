use std::time::Duration;

use pollenlever::settings::PolicyName;
use pollenlever_core::config::Importance;

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};

/// Length of the phase at capacity before the overload, in seconds.
const CAPACITY_SECS: f64 = 5.0;
/// Length of the overload under the `pollenlever` policy, in seconds.
const OVERLOAD_SECS: f64 = 20.0;
/// Length of the overload under the `naive` policy, in seconds.
const NAIVE_OVERLOAD_SECS: f64 = 8.0;
/// Warm-up time at the start; requests that arrive in it are not counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// Load of twice the capacity for 20 s, on calls that pass through four services.
pub(super) struct Overload;

struct Figures {
    goodput_at_capacity: f64,
    /// Good requests a second during the overload.
    goodput: f64,
    /// Share of good critical requests during the overload.
    critical: f64,
}

impl Measurement for Overload {
    fn name(&self) -> &'static str {
        "overload"
    }

    fn summary(&self) -> &'static str {
        "2x capacity for 20 s: goodput >= 90% of that at 1x and >= 2x naive, critical >= 99% good"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever, OVERLOAD_SECS)?;
        let naive = trial(options, PolicyName::Naive, NAIVE_OVERLOAD_SECS)?;
        let held = ours.goodput >= 0.9 * ours.goodput_at_capacity
            && ours.goodput >= 2.0 * naive.goodput
            && ours.critical >= 0.99;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.1}", ours.goodput))
            .figure("naive", format!("{:.1}", naive.goodput))
            .figure("at_1x", format!("{:.1}", ours.goodput_at_capacity))
            .figure("critical", format!("{:.4}", ours.critical))
            .figure("naive_critical", format!("{:.4}", naive.critical))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(
    options: &MeasurementOptions,
    policy: PolicyName,
    secs: f64,
) -> Result<Figures, MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    let phases =
        vec![Phase::new(trial.capacity, CAPACITY_SECS), Phase::new(2.0 * trial.capacity, secs)];
    let spec = trial.load_spec(phases);
    let (overload_at, end) = (spec.phases[0].duration, spec.duration());
    let report = trial.run(spec)?;
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    println!("{policy:?}: answers {:?}", report.answers_by_reason(overload_at, end));
    for importance in Importance::ALL {
        let share = report.good_share_of_importance(importance, overload_at, end);
        println!("{policy:?}: {} good {share:.3}", importance.as_str());
    }
    Ok(Figures {
        goodput_at_capacity: report.goodput(WARM_UP, overload_at),
        goodput: report.goodput(overload_at, end),
        critical: report.good_share_of_importance(Importance::Critical, overload_at, end),
    })
}

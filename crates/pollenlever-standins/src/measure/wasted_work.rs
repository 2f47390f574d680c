use pollenlever::settings::PolicyName;

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase, WorkReport};

/// Length of the phase at capacity before the overload, in seconds.
const CAPACITY_SECS: f64 = 3.0;
/// Length of the overload under the `pollenlever` policy, in seconds.
const OVERLOAD_SECS: f64 = 14.0;
/// Length of the overload under the `naive` policy, in seconds.
const NAIVE_OVERLOAD_SECS: f64 = 8.0;
/// Largest share of wasted work that meets the objective.
const MAX_WASTED_SHARE: f64 = 0.03;

/// Work of the targets on requests that later failed, at a load of twice the capacity.
pub(super) struct WastedWork;

impl Measurement for WastedWork {
    fn name(&self) -> &'static str {
        "wasted-work"
    }

    fn summary(&self) -> &'static str {
        "2x capacity: <= 3% of the targets' work spent on requests that later failed"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let (goodput, work) = trial(options, PolicyName::Pollenlever, OVERLOAD_SECS)?;
        let (naive_goodput, naive_work) = trial(options, PolicyName::Naive, NAIVE_OVERLOAD_SECS)?;
        Ok(Verdict::new(work.wasted_share() <= MAX_WASTED_SHARE)
            .figure("goodput", format!("{goodput:.1}"))
            .figure("naive", format!("{naive_goodput:.1}"))
            .figure("wasted", format!("{:.4}", work.wasted_share()))
            .figure("naive_wasted", format!("{:.4}", naive_work.wasted_share()))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(
    options: &MeasurementOptions,
    policy: PolicyName,
    secs: f64,
) -> Result<(f64, WorkReport), MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    let phases =
        vec![Phase::new(trial.capacity, CAPACITY_SECS), Phase::new(2.0 * trial.capacity, secs)];
    let spec = trial.load_spec(phases);
    let (overload_at, end, depth) = (spec.phases[0].duration, spec.duration(), spec.depth);
    let report = trial.run(spec)?;
    let work = WorkReport::read(&trial.cluster, &report, depth)?;
    println!("{policy:?}: answers {:?}", report.answers_by_reason(overload_at, end));
    println!("{policy:?}: {work:?}");
    Ok((report.goodput(overload_at, end), work))
}

use pollenlever::settings::PolicyName;

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};
use crate::target::{Faults, ReportMode};

/// Load, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 1.2;
/// Length of the load that is counted, in seconds.
const COUNTED_SECS: f64 = 9.0;
/// Length of the warm-up at the start, in seconds; requests that arrive in it are not counted.
const WARM_UP_SECS: f64 = 2.0;
/// Age of the load that targets report, in milliseconds.
const REPORT_LAG_MS: u64 = 5000;
/// Smallest goodput that meets the objective, relative to that with truthful reports.
const MIN_RELATIVE_GOODPUT: f64 = 0.95;

/// Half of the targets always report that they are idle, the others that they are full, and all
/// reports are late.
pub(super) struct Misleading;

impl Measurement for Misleading {
    fn name(&self) -> &'static str {
        "misleading"
    }

    fn summary(&self) -> &'static str {
        "targets misreport their load: goodput >= 95% of that with true reports"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let honest = trial(options, PolicyName::Pollenlever, false)?;
        let misled = trial(options, PolicyName::Pollenlever, true)?;
        let naive = trial(options, PolicyName::Naive, true)?;
        Ok(Verdict::new(misled >= MIN_RELATIVE_GOODPUT * honest)
            .figure("goodput", format!("{misled:.1}"))
            .figure("naive", format!("{naive:.1}"))
            .figure("honest", format!("{honest:.1}"))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(
    options: &MeasurementOptions,
    policy: PolicyName,
    is_misleading: bool,
) -> Result<f64, MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    for (index, machine) in trial.cluster.machines.iter().enumerate().filter(|_| is_misleading) {
        let report = if index % 2 == 0 { ReportMode::Idle } else { ReportMode::Full };
        let faults = Faults { report, report_lag_ms: REPORT_LAG_MS, ..Faults::default() };
        trial.cluster.set_faults(machine, &faults)?;
    }
    let rate = LOAD_FACTOR * trial.capacity;
    let spec =
        trial.load_spec(vec![Phase::new(rate, WARM_UP_SECS), Phase::new(rate, COUNTED_SECS)]);
    let (warm_up_end, end) = (spec.phases[0].duration, spec.duration());
    let report = trial.run(spec)?;
    println!(
        "{policy:?}, misleading {is_misleading}: good by second {:?}",
        report.good_by_second()
    );
    Ok(report.goodput(warm_up_end, end))
}

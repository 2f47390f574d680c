use pollenlever::settings::PolicyName;

use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial};
use crate::target::{Faults, ReportMode};

/// Load, as a share of the capacity.
const LOAD: f64 = 1.2;
/// Seconds of load.
const SECS: f64 = 9.0;
/// Seconds after the start that are not counted.
const SETTLE_SECS: f64 = 2.0;
/// Age of health reports, in milliseconds.
const LAG_MS: u64 = 5000;
/// Share of the goodput with true reports that holds the target.
const MIN_SHARE: f64 = 0.95;

/// Half of the targets report idle, the others full, and health lags.
pub(super) struct Misleading;

impl Measurement for Misleading {
    fn name(&self) -> &'static str {
        "misleading"
    }

    fn summary(&self) -> &'static str {
        "targets misreport their load: goodput >= 95% of that with true reports"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let honest = trial(options, PolicyName::Pollenlever, false)?;
        let misled = trial(options, PolicyName::Pollenlever, true)?;
        let naive = trial(options, PolicyName::Naive, true)?;
        Ok(Verdict::new(misled >= MIN_SHARE * honest)
            .figure("goodput", format!("{misled:.1}"))
            .figure("naive", format!("{naive:.1}"))
            .figure("honest", format!("{honest:.1}"))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(
    options: &MeasureOptions,
    policy: PolicyName,
    misleads: bool,
) -> Result<f64, MeasureError> {
    let trial = Trial::start(options, policy, |_| {})?;
    for (index, machine) in trial.cluster.machines.iter().enumerate().filter(|_| misleads) {
        let report = if index % 2 == 0 { ReportMode::Idle } else { ReportMode::Full };
        let faults = Faults { report, report_lag_ms: LAG_MS, ..Faults::default() };
        trial.cluster.set_faults(machine, &faults)?;
    }
    let rate = LOAD * trial.capacity;
    let spec = trial.load(vec![Phase::new(rate, SETTLE_SECS), Phase::new(rate, SECS)]);
    let (settled, end) = (spec.phases[0].length, spec.length());
    let report = trial.run(spec)?;
    println!("{policy:?}, misleading {misleads}: good by second {:?}", report.series());
    Ok(report.goodput(settled, end))
}

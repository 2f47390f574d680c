use super::{Trial, TrialSettings};
use crate::measure::{MeasureError, MeasureOptions, Measurement, Verdict};

/// Checks the guarantees on retries, single runs, truthful answers, drain and configuration under
/// faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Promises;

impl Measurement for Promises {
    fn name(&self) -> &'static str {
        "promises"
    }

    fn summary(&self) -> &'static str {
        "real processes under kills, freezes, cuts and store outages: no violation of a guarantee"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let MeasureOptions { seed, policy, .. } = *options;
        let trial = Trial::run(&TrialSettings { seed, policy, ..TrialSettings::default() })?;
        println!("newest accepted configuration: {:?}", trial.accepted);
        let checks = trial.checks;
        Ok(Verdict::new(checks.hold() && trial.accepted.is_some())
            .figure("requests", trial.orders)
            .figure("chains", trial.chains)
            .figure("seeds", 1)
            .figure("run_twice", checks.run_twice)
            .figure("false_not_run", checks.false_not_run)
            .figure("over_budget", checks.over_budget)
            .figure("mixed_answers", checks.mixed_answers)
            .figure("cut_in_flight", checks.cut_in_flight)
            .figure("reverts", checks.reverts))
    }
}

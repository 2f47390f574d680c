use super::{PromisesTrial, PromisesTrialSettings};
use crate::measure::{Measurement, MeasurementError, MeasurementOptions, Verdict};

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

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let MeasurementOptions { seed, policy, .. } = *options;
        let trial = PromisesTrial::run(&PromisesTrialSettings {
            seed,
            policy,
            ..PromisesTrialSettings::default()
        })?;
        println!("newest accepted configuration: {:?}", trial.accepted_version);
        let violations = trial.violations;
        Ok(Verdict::new(violations.is_clean() && trial.accepted_version.is_some())
            .figure("requests", trial.order_count)
            .figure("chains", trial.chain_count)
            .figure("seeds", 1)
            .figure("run_twice", violations.run_twice)
            .figure("false_not_run", violations.false_not_run)
            .figure("over_budget", violations.over_budget)
            .figure("mixed_answers", violations.mixed_answers)
            .figure("cut_in_flight", violations.cut_in_flight)
            .figure("reverts", violations.reverts))
    }
}

//! Checks on real processes the guarantees (promises) that must hold despite faults: single runs,
//! truthful answers, retry budgets, graceful drain, no reverted configuration.

mod chain;
mod config_history;
mod drain;
mod fault_plan;
mod order;
mod promises;
mod trial;
mod trial_settings;
mod violations;
mod workload;

pub(super) use promises::Promises;
pub use trial::PromisesTrial;
pub use trial_settings::PromisesTrialSettings;
pub use violations::Violations;

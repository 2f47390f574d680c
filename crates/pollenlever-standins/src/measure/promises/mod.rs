//! What must always hold, checked on real processes under faults.

mod chain;
mod checks;
mod config_history;
mod drain;
mod fault_plan;
mod order;
mod promises;
mod workload;

pub(super) use promises::Promises;

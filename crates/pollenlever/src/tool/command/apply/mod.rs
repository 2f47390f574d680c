//! `pollenlever apply`: submissions to the store, then the wait until they are in force.

mod apply;
mod apply_report;
mod outcome;
mod service_result;
mod submitter;

pub(super) use apply::Apply;

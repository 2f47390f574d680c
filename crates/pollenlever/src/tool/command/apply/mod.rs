//! `pollenlever apply`: submits configurations to the store and waits until they are in force on
//! all nodes.

mod apply;
mod apply_report;
mod outcome;
mod service_result;
mod submitter;

pub(super) use apply::Apply;

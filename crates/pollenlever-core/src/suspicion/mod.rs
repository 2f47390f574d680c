//! Counts of target crashes by the content of the requests that were in flight, to find requests
//! that crash their targets.

mod content_digest;
mod suspicion_table;

pub(crate) use content_digest::content_digest;
pub(crate) use suspicion_table::SuspicionTable;

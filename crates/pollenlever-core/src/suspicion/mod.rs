//! Crashes of targets, counted against the content of requests that were in flight.

mod content_digest;
mod suspicion_table;

pub(crate) use content_digest::content_digest;
pub(crate) use suspicion_table::SuspicionTable;

//! Quotas of workspaces: cases of the single state machines, and histories of several nodes with faults
//! on a virtual clock.

mod cluster;
mod faults;
mod histories;
mod process;
mod service;
mod units;

/// Makes each case a test of its own.
macro_rules! cases {
    ($($name:ident => $body:expr;)*) => {
        $(#[test] fn $name() { $body })*
    };
}
pub(crate) use cases;

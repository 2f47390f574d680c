//! A small deployment that shows a request from entry to target.

mod caller;
mod demo;
mod step;

pub use caller::{Caller, CallerError, Reply};
pub use demo::run;
pub use step::Step;

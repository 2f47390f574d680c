//! A small deployment that shows a request from entry to target.

mod demo;
mod step;

pub use demo::run;
pub use step::Step;

//! A demonstration: requests to a small deployment, with a check of every answer.

mod demo;
mod step;

pub use demo::run;
pub use step::Step;

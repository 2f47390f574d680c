//! Interface between the decision logic and the drivers that run it: events in, actions out.

mod action;
mod event;
mod observation;
mod policy;
mod target;

pub use action::Action;
pub use event::{Call, Event, SendFailure};
pub use observation::Observation;
pub use policy::{BoxPolicy, Policy};
pub use target::{RunResult, TargetNotice};

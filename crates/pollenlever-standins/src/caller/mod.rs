//! A caller that waits for each answer.

mod call;
mod caller;
mod reply;

pub use call::Call;
pub use caller::{Caller, CallerError};
pub use reply::Reply;

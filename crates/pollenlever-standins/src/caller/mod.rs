//! A closed-loop caller: it waits for each answer before it sends the next request.

mod call;
mod caller;
mod reply;

pub use call::Call;
pub use caller::{Caller, CallerError};
pub use reply::Reply;

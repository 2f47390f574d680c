//! Membership and configuration: the threads that gossip and that follow the store.

mod control_handle;
mod control_status;

pub use control_handle::{BoxControl, ControlHandle, ControlInput, ControlReply};
pub use control_status::{ControlStatus, MemberStatus};

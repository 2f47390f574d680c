//! Membership and configuration: the threads that gossip and that follow the store.

mod cell;
mod config_thread;
mod control;
mod control_error;
mod control_handle;
mod control_status;
mod gossip_thread;
mod in_force;
mod seed_publisher;

pub use control::Control;
pub use control_error::ControlError;
pub use control_handle::{BoxControl, ControlHandle, ControlInput, ControlReply};
pub use control_status::{ControlStatus, MemberStatus};

//! Membership and configuration of a node: one thread gossips with peers, another follows the
//! configuration in the store.

mod applied_versions;
mod config_thread;
mod control;
mod control_error;
mod control_handle;
mod control_status;
mod ring_sink;

pub use control::Control;
pub use control_error::ControlError;
pub use control_handle::{ControlHandle, ControlMessage, ControlReply, SharedControl};
pub use control_status::{ControlStatus, MemberStatus};

//! Who the members are and how nodes learn of them.

mod gossip_message;
mod member;

pub use gossip_message::GossipMessage;
pub use member::{Member, TargetState};

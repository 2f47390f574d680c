//! Encoding of protocol version 5, for nodes that have not been upgraded yet.
//!
//! A type is declared here if its encoding differs from that of version 6; all others, those of requests
//! among them, are the same in both. Version 5 gates report no share of the chains that they have room for.

mod attempt_reply;
mod gate_load;
mod mesh_reply;
mod peer_reply;
mod reply_frame;

pub(super) use reply_frame::ReplyFrame;

use attempt_reply::AttemptReply;
use gate_load::GateLoad;
use mesh_reply::MeshReply;
use peer_reply::PeerReply;

/// Version of the protocol that this module encodes.
pub(super) const VERSION: u16 = 5;

use bincode::{Decode, Encode};

use super::{GateLoad, SealReply};
use crate::answer::{Answer, ErrorKind};
use crate::membership::GossipMessage;
use crate::mesh::MeshReply;
use crate::rollout::ConfigMessage;

/// The reply to a [`PeerRequest`](super::PeerRequest) of the same name.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Answer to an attempt, with the gate's load.
    Attempt(Answer, GateLoad),
    /// Answer to a forwarded request.
    Forward(Answer),
    /// Whether the retry is granted.
    Grant(bool),
    /// What became of the attempt.
    Seal(SealReply),
    /// Whether the records were taken over.
    Handover(bool),
    /// The crashes are counted.
    Suspects,
    /// Membership that the sender lacks.
    Gossip(GossipMessage),
    /// Configuration that the sender lacks.
    Config(ConfigMessage),
    /// Reply to a request of the mesh.
    Mesh(MeshReply),
    /// The request was not looked at, for this reason.
    Refused(ErrorKind),
}

use bincode::{Decode, Encode};

use super::{GateLoad, SealReply};
use crate::answer::{Answer, ErrorKind};
use crate::membership::GossipMessage;
use crate::mesh::MeshReply;
use crate::rollout::ConfigMessage;

/// The reply to a [`PeerRequest`](super::PeerRequest) of the same name.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerReply {
    /// Answer to an attempt, and the gate's load.
    Attempt(Answer, GateLoad),
    /// Answer to a forwarded request.
    Forward(Answer),
    /// Whether the retry was granted.
    Grant(bool),
    /// State of the attempt.
    Seal(SealReply),
    /// Whether the records were taken over.
    Handover(bool),
    /// The crashes were recorded.
    Suspects,
    /// Membership changes that the requesting node lacks.
    Gossip(GossipMessage),
    /// Configuration that the requesting node lacks.
    Config(ConfigMessage),
    /// Reply to a service mesh request.
    Mesh(MeshReply),
    /// The request was refused without being handled, for this reason.
    Refused(ErrorKind),
}

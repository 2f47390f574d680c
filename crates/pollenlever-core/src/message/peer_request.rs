use bincode::{Decode, Encode};

use super::{AttemptHead, ForwardHead, Suspicion};
use crate::id::{AttemptId, ChainId};
use crate::membership::GossipMessage;
use crate::mesh::MeshRequest;
use crate::once::Handover;
use crate::rollout::ConfigMessage;

/// A request from one node to another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerRequest {
    /// Run this request on the target beside the receiver.
    Attempt(AttemptHead),
    /// Handle this keyed request as its home, the node that created its key.
    Forward(ForwardHead),
    /// Grant one retry in this chain, as its origin.
    Grant(ChainId),
    /// Seal this attempt so that it never runs, or report its state if it has started.
    Seal(AttemptId),
    /// Take over the records of a home that is leaving.
    Handover(Handover),
    /// Record these counts of target crashes.
    Suspects(Vec<Suspicion>),
    /// Merge membership information.
    Gossip(GossipMessage),
    /// Exchange configuration.
    Config(ConfigMessage),
    /// Service mesh traffic or membership.
    Mesh(MeshRequest),
}

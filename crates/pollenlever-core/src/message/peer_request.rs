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
    /// Run this request on the target beside you.
    Attempt(AttemptHead),
    /// Decide about this keyed request as its home.
    Forward(ForwardHead),
    /// Grant one retry in this chain.
    Grant(ChainId),
    /// Record the attempt as never to run, or say what became of it.
    Seal(AttemptId),
    /// Take over the records of a home that leaves.
    Handover(Handover),
    /// Count crashes of targets against these requests.
    Suspects(Vec<Suspicion>),
    /// Merge membership.
    Gossip(GossipMessage),
    /// Exchange configuration.
    Config(ConfigMessage),
    /// Traffic and membership of a service mesh.
    Mesh(MeshRequest),
}

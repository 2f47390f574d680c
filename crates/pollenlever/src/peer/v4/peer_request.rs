use bincode::{Decode, Encode};
use pollenlever_core::id::{AttemptId, ChainId};
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::message::{AttemptHead, ForwardHead, PeerRequest as Current, Suspicion};
use pollenlever_core::once::Handover;
use pollenlever_core::rollout::ConfigMessage;

use super::MeshRequest;
use crate::peer::WireError;

/// A request from one node to another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) enum PeerRequest {
    Attempt(AttemptHead),
    Forward(ForwardHead),
    Grant(ChainId),
    Seal(AttemptId),
    Handover(Handover),
    Suspects(Vec<Suspicion>),
    Gossip(GossipMessage),
    Config(ConfigMessage),
    Mesh(MeshRequest),
}

impl TryFrom<Current> for PeerRequest {
    type Error = WireError;

    fn try_from(it: Current) -> Result<PeerRequest, WireError> {
        Ok(match it {
            Current::Attempt(head) => PeerRequest::Attempt(head),
            Current::Forward(head) => PeerRequest::Forward(head),
            Current::Grant(chain) => PeerRequest::Grant(chain),
            Current::Seal(attempt) => PeerRequest::Seal(attempt),
            Current::Handover(handover) => PeerRequest::Handover(handover),
            Current::Suspects(suspicions) => PeerRequest::Suspects(suspicions),
            Current::Gossip(message) => PeerRequest::Gossip(message),
            Current::Config(message) => PeerRequest::Config(message),
            Current::Mesh(req) => PeerRequest::Mesh(req.try_into()?),
        })
    }
}

impl From<PeerRequest> for Current {
    fn from(it: PeerRequest) -> Current {
        match it {
            PeerRequest::Attempt(head) => Current::Attempt(head),
            PeerRequest::Forward(head) => Current::Forward(head),
            PeerRequest::Grant(chain) => Current::Grant(chain),
            PeerRequest::Seal(attempt) => Current::Seal(attempt),
            PeerRequest::Handover(handover) => Current::Handover(handover),
            PeerRequest::Suspects(suspicions) => Current::Suspects(suspicions),
            PeerRequest::Gossip(message) => Current::Gossip(message),
            PeerRequest::Config(message) => Current::Config(message),
            PeerRequest::Mesh(req) => Current::Mesh(req.into()),
        }
    }
}

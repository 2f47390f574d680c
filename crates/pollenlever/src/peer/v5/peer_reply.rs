use bincode::{Decode, Encode};
use pollenlever_core::answer::{Answer, ErrorKind};
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::message::{PeerReply as Current, SealReply};
use pollenlever_core::rollout::ConfigMessage;

use super::{GateLoad, MeshReply};
use crate::peer::WireError;

/// The reply to a request of the same name.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) enum PeerReply {
    Attempt(Answer, GateLoad),
    Forward(Answer),
    Grant(bool),
    Seal(SealReply),
    Handover(bool),
    Suspects,
    Gossip(GossipMessage),
    Config(ConfigMessage),
    Mesh(MeshReply),
    Refused(ErrorKind),
}

impl TryFrom<Current> for PeerReply {
    type Error = WireError;

    fn try_from(it: Current) -> Result<PeerReply, WireError> {
        Ok(match it {
            Current::Attempt(answer, load) => PeerReply::Attempt(answer, load.into()),
            Current::Forward(answer) => PeerReply::Forward(answer),
            Current::Grant(is_granted) => PeerReply::Grant(is_granted),
            Current::Seal(reply) => PeerReply::Seal(reply),
            Current::Handover(is_taken_over) => PeerReply::Handover(is_taken_over),
            Current::Suspects => PeerReply::Suspects,
            Current::Gossip(message) => PeerReply::Gossip(message),
            Current::Config(message) => PeerReply::Config(message),
            Current::Mesh(reply) => PeerReply::Mesh(reply.try_into()?),
            Current::Refused(kind) => PeerReply::Refused(kind),
        })
    }
}

impl From<PeerReply> for Current {
    fn from(it: PeerReply) -> Current {
        match it {
            PeerReply::Attempt(answer, load) => Current::Attempt(answer, load.into()),
            PeerReply::Forward(answer) => Current::Forward(answer),
            PeerReply::Grant(is_granted) => Current::Grant(is_granted),
            PeerReply::Seal(reply) => Current::Seal(reply),
            PeerReply::Handover(is_taken_over) => Current::Handover(is_taken_over),
            PeerReply::Suspects => Current::Suspects,
            PeerReply::Gossip(message) => Current::Gossip(message),
            PeerReply::Config(message) => Current::Config(message),
            PeerReply::Mesh(reply) => Current::Mesh(reply.into()),
            PeerReply::Refused(kind) => Current::Refused(kind),
        }
    }
}

use bincode::{Decode, Encode};
use pollenlever_core::id::{Incarnation, NodeId};
use pollenlever_core::message::PeerRequest;

/// Head of a request stream.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RequestFrame {
    /// Version of the protocol that the sender speaks; always the first field.
    pub version: u16,
    /// The sender.
    pub from: NodeId,
    /// The incarnation that may act on the request.
    pub to: Incarnation,
    /// The request.
    pub request: PeerRequest,
}

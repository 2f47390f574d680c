use bincode::{Decode, Encode};
use pollenlever_core::id::{Incarnation, NodeId};
use pollenlever_core::message::PeerRequest;

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct RequestFrame {
    /// Protocol version of the sender. Always the first field, so that nodes of other versions can
    /// read it.
    pub version: u16,
    /// The sender.
    pub from: NodeId,
    /// Incarnation (the random number of one run of a node) that may handle the request, or
    /// [`ANY_INCARNATION`](pollenlever_core::id::ANY_INCARNATION).
    pub to: Incarnation,
    /// The request.
    pub request: PeerRequest,
}

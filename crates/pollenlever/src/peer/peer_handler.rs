use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PeerReply, PeerRequest};

/// Future of the reply and its body; `None` if the node can no longer reply.
pub type PeerReplyFuture = Pin<Box<dyn Future<Output = Option<(PeerReply, Bytes)>> + Send>>;

/// Handles requests from peers.
pub trait PeerHandler: Send + Sync {
    /// Handles a request. The future is dropped if the peer resets the stream.
    fn handle(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture;

    /// Handles the news that a peer addressed another process at this node's address.
    fn handle_misaddressed(&self, _from: NodeId) {}
}

/// A handler that the connections of a server share.
pub type SharedPeerHandler = Arc<dyn PeerHandler>;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PeerReply, PeerRequest};

/// The reply to come, or `None` if there is nobody left to give one.
pub type PeerReplyFuture = Pin<Box<dyn Future<Output = Option<(PeerReply, Bytes)>> + Send>>;

/// Decides about requests of peers.
pub trait PeerHandler: Send + Sync {
    /// Takes a request. The future is dropped if the peer gives up on it.
    fn handle(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture;
}

/// Handler of whichever kind, shared by the connections of a server.
pub type BoxPeerHandler = Arc<dyn PeerHandler>;

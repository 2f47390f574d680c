use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use thiserror::Error;

/// A request to a peer that got no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no reply from {to}: {reason}")]
pub struct PeerError {
    /// The peer.
    pub to: NodeId,
    /// How far the request got.
    pub failure: SendFailure,
    /// What went wrong.
    pub reason: String,
}

/// The reply to come.
pub type PeerFuture = Pin<Box<dyn Future<Output = Result<(PeerReply, Bytes), PeerError>> + Send>>;

/// Sends requests to peers over pooled connections.
pub trait PeerSender: Send + Sync {
    /// Sends `req` and waits at most `timeout` for the reply. Dropping the future resets the stream.
    fn send(&self, to: NodeId, req: PeerRequest, body: Bytes, timeout: Duration) -> PeerFuture;
}

/// Sender of whichever kind, shared by the threads of a node.
pub type BoxPeerSender = Arc<dyn PeerSender>;

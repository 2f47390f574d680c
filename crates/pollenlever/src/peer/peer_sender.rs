use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use thiserror::Error;

/// Error of a request to a peer that got no reply.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no reply from {to}: {reason}")]
pub struct PeerError {
    /// The peer.
    pub to: NodeId,
    /// Whether the request may have arrived.
    pub failure: SendFailure,
    /// What went wrong.
    pub reason: String,
}

/// Future of the reply and its body.
pub type PeerFuture = Pin<Box<dyn Future<Output = Result<(PeerReply, Bytes), PeerError>> + Send>>;

/// Sends requests to peers.
pub trait PeerSender: Send + Sync {
    /// Sends `req` and waits at most `timeout` for the reply. Dropping the future resets the stream.
    fn send(&self, to: NodeId, req: PeerRequest, body: Bytes, timeout: Duration) -> PeerFuture;
}

/// A sender that the threads of a node share.
pub type SharedPeerSender = Arc<dyn PeerSender>;

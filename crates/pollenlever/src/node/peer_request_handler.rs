use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{NodeId, StreamId};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;

use super::{PendingReplies, push_event};
use crate::control::{ControlMessage, SharedControl};
use crate::peer::{PeerHandler, PeerReplyFuture};
use crate::ring::RingSender;

/// Handles requests of peers: passes gossip and configurations to the control threads and all
/// other requests to the decision thread.
pub struct PeerRequestHandler {
    /// Ring to the decision thread.
    pub events: RingSender<Event>,
    /// Replies of the policy that peers wait for, by stream.
    pub streams: Arc<PendingReplies<(PeerReply, Bytes)>>,
    /// Handles gossip and configurations.
    pub control: SharedControl,
}

impl PeerRequestHandler {
    fn control_reply(&self, from: NodeId, message: ControlMessage) -> PeerReplyFuture {
        let reply = match self.control.handle_message(from, message) {
            ControlMessage::Gossip(message) => PeerReply::Gossip(message),
            ControlMessage::Config(message) => PeerReply::Config(message),
        };
        Box::pin(async move { Some((reply, Bytes::new())) })
    }

    fn ask_policy(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        let (stream, reply) = self.streams.register();
        let event = Event::Request { stream, from, req, body };
        if self.events.push(event).is_err() {
            self.streams.remove(stream);
            let refused = (PeerReply::Refused(ErrorKind::QueueFull), Bytes::new());
            return Box::pin(async move { Some(refused) });
        }
        let guard = RequestGuard {
            stream,
            events: self.events.clone(),
            streams: Arc::clone(&self.streams),
        };
        Box::pin(async move {
            let reply = reply.await.ok();
            drop(guard);
            reply
        })
    }
}

impl PeerHandler for PeerRequestHandler {
    fn handle(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        match req {
            PeerRequest::Gossip(message) => {
                self.control_reply(from, ControlMessage::Gossip(message))
            }
            PeerRequest::Config(message) => {
                self.control_reply(from, ControlMessage::Config(message))
            }
            req => self.ask_policy(from, req, body),
        }
    }
}

/// Reports the request of a stream as cancelled if it is dropped before the reply.
struct RequestGuard {
    stream: StreamId,
    events: RingSender<Event>,
    streams: Arc<PendingReplies<(PeerReply, Bytes)>>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.streams.remove(self.stream) {
            let (events, stream) = (self.events.clone(), self.stream);
            tokio::spawn(async move { push_event(&events, Event::RequestCancelled(stream)).await });
        }
    }
}

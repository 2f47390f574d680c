use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{NodeId, StreamId};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;

use super::{Waiters, report};
use crate::control::{BoxControl, ControlInput};
use crate::peer::{PeerHandler, PeerReplyFuture};
use crate::ring::Ring;

/// Has requests of peers decided by the control threads and the decision thread.
pub struct PolicyHandler {
    /// Where requests go.
    pub events: Ring<Event>,
    /// Streams that wait for a reply of the policy.
    pub streams: Arc<Waiters<(PeerReply, Bytes)>>,
    /// Takes gossip and configuration.
    pub control: BoxControl,
}

impl PolicyHandler {
    fn control_reply(&self, from: NodeId, input: ControlInput) -> PeerReplyFuture {
        let reply = match self.control.receive(from, input) {
            ControlInput::Gossip(message) => PeerReply::Gossip(message),
            ControlInput::Config(message) => PeerReply::Config(message),
        };
        Box::pin(async move { Some((reply, Bytes::new())) })
    }

    fn decide(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        let (stream, reply) = self.streams.register();
        let event = Event::Request { stream, from, req, body };
        if self.events.push(event).is_err() {
            self.streams.forget(stream);
            let refused = (PeerReply::Refused(ErrorKind::QueueFull), Bytes::new());
            return Box::pin(async move { Some(refused) });
        }
        let guard =
            StreamGuard { stream, events: self.events.clone(), streams: Arc::clone(&self.streams) };
        Box::pin(async move {
            let reply = reply.await.ok();
            drop(guard);
            reply
        })
    }
}

impl PeerHandler for PolicyHandler {
    fn handle(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        match req {
            PeerRequest::Gossip(message) => self.control_reply(from, ControlInput::Gossip(message)),
            PeerRequest::Config(message) => self.control_reply(from, ControlInput::Config(message)),
            req => self.decide(from, req, body),
        }
    }
}

/// Reports a request as cancelled if its peer gives up before the reply.
struct StreamGuard {
    stream: StreamId,
    events: Ring<Event>,
    streams: Arc<Waiters<(PeerReply, Bytes)>>,
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        if self.streams.forget(self.stream) {
            let (events, stream) = (self.events.clone(), self.stream);
            tokio::spawn(async move { report(&events, Event::RequestCancelled(stream)).await });
        }
    }
}

use std::sync::Arc;
use std::time::Duration;

use super::{NoRoute, RouteRequest};
use crate::Timestamp;
use crate::config::ServiceConfig;
use crate::id::NodeId;
use crate::membership::Member;
use crate::message::GateLoad;

/// Chooses the target of an attempt from what answers have told about the gates.
pub trait Routing: Send {
    /// Takes a configuration into force.
    fn configure(&mut self, cfg: Arc<ServiceConfig>);

    /// Takes members that are new or changed.
    fn members_up(&mut self, now: Timestamp, members: &[Member]);

    /// Forgets members that are gone.
    fn members_gone(&mut self, now: Timestamp, nodes: &[NodeId]);

    /// Chooses a node whose target is to run the request.
    ///
    /// # Errors
    ///
    /// [`NoRoute`] if no target is ready, or if every choice would shed the request anyway.
    fn choose(&mut self, now: Timestamp, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute>;

    /// Notes that an attempt was sent.
    fn sent(&mut self, now: Timestamp, node: NodeId, bytes: u64);

    /// Notes that an attempt was answered; `latency` is from sending to reply.
    fn replied(
        &mut self,
        now: Timestamp,
        node: NodeId,
        latency: Duration,
        load: &GateLoad,
        bytes: u64,
    );

    /// Notes that an attempt got no reply.
    fn failed(&mut self, now: Timestamp, node: NodeId);

    /// Notes that this node gave up on an attempt.
    fn cancelled(&mut self, now: Timestamp, node: NodeId);
}

/// Routing of whichever kind.
pub type BoxRouting = Box<dyn Routing>;

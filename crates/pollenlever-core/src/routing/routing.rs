use std::sync::Arc;
use std::time::Duration;

use super::{NoRoute, RouteRequest};
use crate::Timestamp;
use crate::config::ServiceConfig;
use crate::id::NodeId;
use crate::membership::Member;
use crate::message::GateLoad;

/// Chooses targets for attempts, based on membership and on the load that gates report in their
/// replies. A gate is the node beside a target.
pub trait Routing: Send {
    /// Applies the configuration of a service.
    fn configure(&mut self, cfg: Arc<ServiceConfig>);

    /// Adds or updates members that are new or changed.
    fn update_members(&mut self, now: Timestamp, members: &[Member]);

    /// Removes members that are gone.
    fn remove_members(&mut self, now: Timestamp, nodes: &[NodeId]);

    /// Chooses the node whose target should run the request.
    ///
    /// # Errors
    ///
    /// [`NoRoute`] if no target is ready, or if all gates are expected to shed the request.
    fn choose(&mut self, now: Timestamp, req: &RouteRequest<'_>) -> Result<NodeId, NoRoute>;

    /// Records that an attempt of `bytes` bytes was sent to `node`.
    fn record_sent(&mut self, now: Timestamp, node: NodeId, bytes: u64);

    /// Records a reply of `bytes` bytes to an attempt; `latency` is the time from sending to reply.
    fn record_reply(
        &mut self,
        now: Timestamp,
        node: NodeId,
        latency: Duration,
        load: &GateLoad,
        bytes: u64,
    );

    /// Records that an attempt failed without a reply.
    fn record_failure(&mut self, now: Timestamp, node: NodeId);

    /// Records that this node cancelled an attempt.
    fn record_cancelled(&mut self, now: Timestamp, node: NodeId);
}

/// A boxed [`Routing`] of any implementation.
pub type BoxRouting = Box<dyn Routing>;

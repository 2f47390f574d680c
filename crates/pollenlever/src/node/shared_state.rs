use std::sync::Arc;

use bytes::Bytes;
use crossbeam_channel::Receiver;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::PeerReply;
use pollenlever_core::policy::Event;

use super::{CallReply, InFlightCounter, PendingReplies};
use crate::bounds::{BoundsMetrics, ConnectionLimiter, MessageMemory, ProcessBounds};
use crate::ring::{RingSender, ring};
use crate::settings::Settings;
use crate::telemetry::{NodeTelemetry, SharedTelemetry};

/// State that the threads of a node share.
#[derive(Clone)]
pub(super) struct SharedState {
    /// Id of this node.
    pub(super) local_node: NodeId,
    /// Ring to the decision thread.
    pub(super) events: RingSender<Event>,
    /// Replies that HTTP handlers of callers wait for.
    pub(super) calls: Arc<PendingReplies<CallReply>>,
    /// Replies that peers wait for, by stream.
    pub(super) streams: Arc<PendingReplies<(PeerReply, Bytes)>>,
    /// What the process may take in all.
    pub(super) bounds: ProcessBounds,
    /// Counts what the bounds refuse and close.
    pub(super) bounds_metrics: BoundsMetrics,
    /// Limits the connections of callers.
    pub(super) connections: ConnectionLimiter,
    /// Memory for the bodies of requests and answers.
    pub(super) memory: MessageMemory,
    /// Replies that are not yet written.
    pub(super) in_flight_work: InFlightCounter,
    /// Metrics and the error budget burn report.
    pub(super) telemetry: SharedTelemetry,
}

impl SharedState {
    /// State of a newly started node, and the receiving end of its event ring.
    pub(super) fn new(cfg: &Settings) -> (SharedState, Receiver<Event>) {
        let local_node = NodeId { addr: cfg.peer_address(), incarnation: random_incarnation() };
        let (events, rx) = ring(cfg.ring_capacity);
        let bounds = ProcessBounds::of_process(cfg.process_limits());
        let bounds_metrics = BoundsMetrics::default();
        let connections =
            ConnectionLimiter::with_metrics("callers", bounds.callers(), bounds_metrics.clone());
        let memory = MessageMemory::with_callers(
            bounds.memory(),
            Some(connections.clone()),
            bounds_metrics.clone(),
        );
        let telemetry =
            NodeTelemetry::new(&cfg.region, &cfg.zone, local_node).with_bounds(&bounds_metrics);
        let shared = SharedState {
            bounds,
            bounds_metrics,
            connections,
            memory,
            local_node,
            events,
            calls: Arc::default(),
            streams: Arc::default(),
            in_flight_work: InFlightCounter::default(),
            telemetry: Arc::new(telemetry),
        };
        (shared, rx)
    }
}

/// Draws a random incarnation, which tells this start of the node from earlier ones. Never 0
/// (`ANY_INCARNATION`), which stands for any incarnation.
fn random_incarnation() -> u64 {
    loop {
        let drawn: u64 = rand::random();
        if drawn != pollenlever_core::id::ANY_INCARNATION {
            return drawn;
        }
    }
}

use std::sync::Arc;

use bytes::Bytes;
use crossbeam_channel::Receiver;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::PeerReply;
use pollenlever_core::policy::Event;

use super::{CallReply, OpenWork, Waiters};
use crate::ring::{Ring, ring};
use crate::settings::Settings;
use crate::telemetry::{BoxTelemetry, NodeTelemetry};

/// What the threads of a node share.
#[derive(Clone)]
pub(super) struct Shared {
    /// This node.
    pub(super) me: NodeId,
    /// Ring to the decision thread.
    pub(super) events: Ring<Event>,
    /// Callers that wait.
    pub(super) calls: Arc<Waiters<CallReply>>,
    /// Peers that wait.
    pub(super) streams: Arc<Waiters<(PeerReply, Bytes)>>,
    /// Replies that are not yet written.
    pub(super) open_work: OpenWork,
    /// Metrics and the burn report.
    pub(super) telemetry: BoxTelemetry,
}

impl Shared {
    /// State of a node that starts, and the reading end of its ring of events.
    pub(super) fn new(cfg: &Settings) -> (Shared, Receiver<Event>) {
        let me = NodeId { addr: cfg.peer_address(), incarnation: draw_incarnation() };
        let (events, rx) = ring(cfg.ring_capacity);
        let shared = Shared {
            me,
            events,
            calls: Arc::default(),
            streams: Arc::default(),
            open_work: OpenWork::default(),
            telemetry: Arc::new(NodeTelemetry::new(&cfg.region, &cfg.zone, me)),
        };
        (shared, rx)
    }
}

/// Draws the number of this start; 0 stands for any.
fn draw_incarnation() -> u64 {
    loop {
        let drawn: u64 = rand::random();
        if drawn != pollenlever_core::id::ANY_INCARNATION {
            return drawn;
        }
    }
}

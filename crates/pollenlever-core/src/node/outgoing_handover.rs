use std::collections::VecDeque;

use bytes::Bytes;

use crate::id::NodeId;
use crate::once::Handover;

/// A handover to a successor in progress.
#[derive(Debug, Default)]
pub(super) struct OutgoingHandover {
    /// The successor, followed by the nodes to ask if it refuses the first part.
    pub(super) successors: VecDeque<NodeId>,
    /// Parts that the successor has not acknowledged.
    pub(super) parts: VecDeque<(Handover, Bytes)>,
    /// Number of times that the first of these parts was sent.
    pub(super) sends: u32,
}

impl OutgoingHandover {
    /// Whether no part or no successor is left.
    pub(super) fn is_finished(&self) -> bool {
        self.successors.is_empty() || self.parts.is_empty()
    }

    /// The first unacknowledged part with its recipient and answer bodies; counts as a send.
    pub(super) fn next_part(&mut self) -> Option<(NodeId, Handover, Bytes)> {
        let to = *self.successors.front()?;
        let (part, bodies) = self.parts.front().cloned()?;
        self.sends += 1;
        Some((to, part, bodies))
    }
}

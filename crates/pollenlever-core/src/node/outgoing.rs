use std::collections::VecDeque;

use bytes::Bytes;

use crate::id::NodeId;
use crate::once::Handover;

/// A handover on its way to a successor.
#[derive(Debug, Default)]
pub(super) struct Outgoing {
    /// The successor, then those to ask if it refuses the first part.
    pub(super) successors: VecDeque<NodeId>,
    /// Parts that the successor does not have yet.
    pub(super) parts: VecDeque<(Handover, Bytes)>,
    /// Sends of the first of them.
    pub(super) sends: u32,
}

impl Outgoing {
    /// Whether there is nothing left to send, or nobody to send it to.
    pub(super) fn is_over(&self) -> bool {
        self.successors.is_empty() || self.parts.is_empty()
    }

    /// The part to send now, and to whom.
    pub(super) fn next_part(&mut self) -> Option<(NodeId, Handover, Bytes)> {
        let to = *self.successors.front()?;
        let (part, bodies) = self.parts.front().cloned()?;
        self.sends += 1;
        Some((to, part, bodies))
    }
}

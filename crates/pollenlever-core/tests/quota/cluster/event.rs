use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::{NodeId, WorkspaceName};
use pollenlever_core::quota::*;

use super::index_of;
use crate::process::{Message, Write};

/// What happens at a moment of the history; nodes are given by index.
pub(super) enum Event {
    Tick(usize, u64),
    Request(usize, WorkspaceName),
    Arrive {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    NoReply(usize, u64, WorkspaceName, u64),
    GiveBack(usize, u64, TokenPermit),
    StoreWrite(usize, u64, Write),
    Written(usize, u64, Option<TableRevision>, Write),
    Read {
        node: usize,
        incarnation: u64,
        start: Timestamp,
        revision: TableRevision,
    },
    /// Whether the node starts again.
    Kill(usize, bool),
    Start(usize),
    Freeze(usize, Duration),
    Partition(Vec<bool>, Duration, bool),
    Leave(usize),
}

impl Event {
    /// Node whose suspension delays the event.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Event::Tick(node, _)
            | Event::Request(node, _)
            | Event::NoReply(node, ..)
            | Event::GiveBack(node, ..)
            | Event::Written(node, ..)
            | Event::Read { node, .. } => Some(*node),
            Event::Arrive { to, .. } => Some(index_of(*to)),
            _ => None,
        }
    }
}

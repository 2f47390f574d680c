use std::collections::BTreeSet;

use bytes::Bytes;

use crate::Timestamp;
use crate::id::{CallId, ContentDigest, RunId};
use crate::message::AttemptHead;

/// An attempt that this gate has received and not ended yet.
#[derive(Debug)]
pub(super) struct GateAttempt {
    pub(super) head: AttemptHead,
    pub(super) body: Bytes,
    pub(super) deadline: Timestamp,
    pub(super) stage: GateStage,
    /// Whether the sender is still waiting for the reply.
    pub(super) sender_awaits_reply: bool,
    /// Content hashes of the nested calls that the target has made during this attempt.
    pub(super) children: BTreeSet<ContentDigest>,
    /// Nested calls that have no answer yet.
    pub(super) open_calls: BTreeSet<CallId>,
}

impl GateAttempt {
    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, GateStage::Running { .. })
    }
}

/// Progress of an attempt at its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GateStage {
    /// A suspect that waits for another suspect to end.
    Parked,
    /// Waiting for a slot.
    Queued,
    /// Has a slot and is about to start. A suspect first waits until nothing else is running;
    /// another attempt first waits until a suspect that is running or was ready earlier has ended.
    Ready,
    /// Running on the target.
    Running {
        /// Number of the run.
        run: RunId,
        /// Time at which it started.
        started: Timestamp,
    },
}

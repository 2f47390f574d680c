use std::collections::BTreeSet;

use bytes::Bytes;

use crate::Timestamp;
use crate::id::{CallId, ContentDigest, RunId};
use crate::message::AttemptHead;

/// An attempt at the gate beside its target.
#[derive(Debug)]
pub(super) struct GateAttempt {
    pub(super) head: AttemptHead,
    pub(super) body: Bytes,
    pub(super) deadline: Timestamp,
    pub(super) stage: GateStage,
    /// Whether the sender still waits for the reply.
    pub(super) reply_wanted: bool,
    /// Content of the calls that the target has made inside this attempt.
    pub(super) children: BTreeSet<ContentDigest>,
    /// Calls among them that have no answer yet.
    pub(super) open_calls: BTreeSet<CallId>,
}

impl GateAttempt {
    pub(super) fn is_running(&self) -> bool {
        matches!(self.stage, GateStage::Running { .. })
    }
}

/// How far an attempt has come at its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GateStage {
    /// A suspect waits for another suspect to end.
    Parked,
    /// Waits for a slot.
    Queued,
    /// Has a slot and waits until a suspect has run alone.
    Held,
    /// Runs on the target.
    Running {
        /// Number of the run.
        run: RunId,
        /// Time at which it started.
        started: Timestamp,
    },
}

use std::collections::{HashMap, VecDeque};

use super::forgotten_attempts::ForgottenAttempts;
use crate::id::AttemptId;

/// Maximum number of attempts that a gate remembers; the oldest is forgotten first.
const MAX_ATTEMPTS: usize = 8192;

/// Stage of an attempt (one try of an owner to have a request run) at the gate of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// It waits in the queue for a free slot.
    Waiting,
    /// It was handed to the target.
    Started,
    /// It was not handed to the target and never will be.
    Sealed,
    /// It, or a later attempt of its sender, is no longer remembered. It may have been handed to the
    /// target, and will not be from now on.
    Forgotten,
}

/// Attempts that a gate has received or sealed, so that the owner of a request can learn whether an
/// attempt was started.
///
/// The owner seals an attempt that it gives up: a sealed attempt is not started, even if it arrives
/// after the seal. The memory is bounded; an attempt that may have been forgotten is neither started
/// nor said to be sealed.
#[derive(Debug, Default)]
pub struct AttemptLedger {
    stages: HashMap<AttemptId, AttemptStage>,
    /// The attempts in `stages`, oldest first.
    order: VecDeque<AttemptId>,
    forgotten: ForgottenAttempts,
}

impl AttemptLedger {
    /// Registers an attempt that arrived.
    ///
    /// # Errors
    ///
    /// The stage of an attempt that is known already, sealed or forgotten; it must not be started.
    ///
    /// ```
    /// use pollenlever_core::mesh::{AttemptLedger, AttemptStage};
    /// let attempt = "127.0.0.1:7101@1f~2a".parse().unwrap();
    /// let mut ledger = AttemptLedger::default();
    /// assert_eq!(ledger.seal(attempt), AttemptStage::Sealed);
    /// assert_eq!(ledger.begin(attempt), Err(AttemptStage::Sealed));
    /// ```
    pub fn begin(&mut self, attempt: AttemptId) -> Result<(), AttemptStage> {
        if let Some(stage) = self.stages.get(&attempt) {
            return Err(*stage);
        }
        if self.forgotten.includes(attempt) {
            return Err(AttemptStage::Forgotten);
        }
        self.insert(attempt, AttemptStage::Waiting);
        Ok(())
    }

    /// Marks a waiting attempt as handed to the target. Returns `false` if it is not waiting, in
    /// which case it must not be started.
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        match self.stages.get_mut(&attempt) {
            Some(stage) if *stage == AttemptStage::Waiting => {
                *stage = AttemptStage::Started;
                true
            }
            _ => false,
        }
    }

    /// Seals an attempt unless it was started or may have been. Returns its resulting stage.
    pub fn seal(&mut self, attempt: AttemptId) -> AttemptStage {
        match self.stages.get_mut(&attempt) {
            Some(AttemptStage::Started) => AttemptStage::Started,
            Some(stage) => {
                *stage = AttemptStage::Sealed;
                AttemptStage::Sealed
            }
            None if self.forgotten.may_include(attempt) => AttemptStage::Forgotten,
            None => {
                self.insert(attempt, AttemptStage::Sealed);
                AttemptStage::Sealed
            }
        }
    }

    fn insert(&mut self, attempt: AttemptId, stage: AttemptStage) {
        if self.order.len() == MAX_ATTEMPTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.stages.remove(&oldest);
            self.forgotten.record(oldest);
        }
        self.order.push_back(attempt);
        self.stages.insert(attempt, stage);
    }
}

use std::collections::{HashMap, VecDeque};

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
}

/// Attempts that a gate has received or sealed, so that the owner of a request can learn whether an
/// attempt was started.
///
/// The owner seals an attempt that it gives up: a sealed attempt is not started, even if it arrives
/// after the seal.
#[derive(Debug, Default)]
pub struct AttemptLedger {
    stages: HashMap<AttemptId, AttemptStage>,
    order: VecDeque<AttemptId>,
}

impl AttemptLedger {
    /// Registers an attempt that arrived. Returns `false` if it is known already or sealed.
    ///
    /// ```
    /// use pollenlever_core::mesh::{AttemptLedger, AttemptStage};
    /// let attempt = "127.0.0.1:7101@1f~2a".parse().unwrap();
    /// let mut ledger = AttemptLedger::default();
    /// assert_eq!(ledger.seal(attempt), AttemptStage::Sealed);
    /// assert!(!ledger.begin(attempt));
    /// ```
    pub fn begin(&mut self, attempt: AttemptId) -> bool {
        if self.stages.contains_key(&attempt) {
            return false;
        }
        self.insert(attempt, AttemptStage::Waiting);
        true
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

    /// Seals an attempt unless it was started. Returns its resulting stage.
    pub fn seal(&mut self, attempt: AttemptId) -> AttemptStage {
        match self.stages.get_mut(&attempt) {
            Some(AttemptStage::Started) => AttemptStage::Started,
            Some(stage) => {
                *stage = AttemptStage::Sealed;
                AttemptStage::Sealed
            }
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
        }
        self.order.push_back(attempt);
        self.stages.insert(attempt, stage);
    }
}

use std::collections::{HashMap, VecDeque};

use crate::id::AttemptId;

/// Attempts whose stage a gate remembers.
const MAX_ATTEMPTS: usize = 8192;

/// How far an attempt came at its gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    /// It waits for a slot.
    Waiting,
    /// It was handed to the target.
    Started,
    /// It was not handed to the target and never will be.
    Sealed,
}

/// Attempts that a gate has seen, so that an owner can learn what became of one.
///
/// An attempt that its owner gave up is sealed; it is not started when it arrives late.
#[derive(Debug, Default)]
pub struct AttemptLedger {
    stages: HashMap<AttemptId, AttemptStage>,
    order: VecDeque<AttemptId>,
}

impl AttemptLedger {
    /// Registers an attempt that arrived. Returns whether it may go on.
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

    /// Moves a waiting attempt to the target. Returns whether it may start.
    pub fn start(&mut self, attempt: AttemptId) -> bool {
        match self.stages.get_mut(&attempt) {
            Some(stage) if *stage == AttemptStage::Waiting => {
                *stage = AttemptStage::Started;
                true
            }
            _ => false,
        }
    }

    /// Seals an attempt unless it was started. Returns its stage from now on.
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

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::AttemptState;
use crate::answer::{Answer, ErrorKind};
use crate::id::{AttemptId, NodeId};

/// States of the attempts that a gate has received or sealed.
///
/// A sealed attempt is never started, also if it arrives afterwards. Memory is bounded: when an
/// attempt is forgotten, the watermark of its sender rises to its sequence number. An attempt at or
/// below the watermark that is not in the table is never started, and whether it ran is unknown.
/// The table does not depend on clocks.
#[derive(Debug)]
pub(crate) struct SealTable {
    senders: BTreeMap<NodeId, Sender>,
    /// Attempts in the table, oldest first.
    insertion_order: VecDeque<AttemptId>,
    /// Attempts with a stored answer and its length in bytes, oldest first.
    stored_answers: VecDeque<(AttemptId, usize)>,
    answer_bytes: usize,
    max_attempts: usize,
    max_answer_bytes: usize,
}

#[derive(Debug, Default)]
struct Sender {
    watermark: u64,
    states: BTreeMap<u64, AttemptState>,
}

impl SealTable {
    /// Keeps at most `max_attempts` ended attempts and `max_answer_bytes` bytes of answers.
    pub(crate) fn new(max_attempts: usize, max_answer_bytes: usize) -> SealTable {
        SealTable {
            senders: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            stored_answers: VecDeque::new(),
            answer_bytes: 0,
            max_attempts,
            max_answer_bytes,
        }
    }

    /// Registers an attempt on arrival.
    ///
    /// # Errors
    ///
    /// The state of an attempt that was received or sealed before; the caller must not start it.
    pub(crate) fn register(&mut self, id: AttemptId) -> Result<(), AttemptState> {
        match self.state(id) {
            Some(state) => Err(state),
            None => {
                self.insert(id, AttemptState::Waiting);
                Ok(())
            }
        }
    }

    /// Seals an attempt unless it has arrived already. Returns its resulting state.
    pub(crate) fn seal(&mut self, id: AttemptId) -> AttemptState {
        match self.state(id) {
            Some(state) => state,
            None => {
                self.insert(id, AttemptState::Sealed(ErrorKind::Overloaded));
                AttemptState::Sealed(ErrorKind::Overloaded)
            }
        }
    }

    /// Updates the state of a registered attempt.
    pub(crate) fn set_state(&mut self, id: AttemptId, state: AttemptState) {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return };
        sender.states.insert(id.seq, state);
    }

    /// Ends an attempt and stores its answer, dropping the oldest answers over the limits.
    pub(crate) fn keep_answer(&mut self, id: AttemptId, answer: Answer, body: Bytes) {
        let len = body.len();
        self.set_state(id, AttemptState::Ended(answer, body));
        self.stored_answers.push_back((id, len));
        self.answer_bytes += len;
        while self.stored_answers.len() > self.max_attempts
            || self.answer_bytes > self.max_answer_bytes
        {
            let Some((oldest, len)) = self.stored_answers.pop_front() else { break };
            self.answer_bytes -= len;
            self.drop_answer(oldest);
        }
    }

    /// Forgets the ended attempts of a sender that was reported gone. The report may be false if the
    /// sender was only paused, so its earlier attempts stay refused.
    pub(crate) fn forget_sender(&mut self, node: NodeId) {
        let Some(sender) = self.senders.get_mut(&node) else { return };
        let newest = sender.states.last_key_value().map_or(0, |(seq, _)| *seq);
        sender.watermark = sender.watermark.max(newest);
        sender.states.retain(|_, state| state.is_active());
    }

    fn state(&self, id: AttemptId) -> Option<AttemptState> {
        let sender = self.senders.get(&id.sender)?;
        let known = sender.states.get(&id.seq).cloned();
        known.or_else(|| (id.seq <= sender.watermark).then_some(AttemptState::Unknown))
    }

    fn insert(&mut self, id: AttemptId, state: AttemptState) {
        self.senders.entry(id.sender).or_default().states.insert(id.seq, state);
        self.insertion_order.push_back(id);
        let mut to_check = self.insertion_order.len().saturating_sub(self.max_attempts);
        while to_check > 0 {
            to_check -= 1;
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            if !self.forget(oldest) {
                self.insertion_order.push_back(oldest);
            }
        }
    }

    /// Forgets an attempt unless it is active. Returns whether it is no longer in the table.
    fn forget(&mut self, id: AttemptId) -> bool {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return true };
        if sender.states.get(&id.seq).is_some_and(AttemptState::is_active) {
            return false;
        }
        sender.states.remove(&id.seq);
        sender.watermark = sender.watermark.max(id.seq);
        true
    }

    fn drop_answer(&mut self, id: AttemptId) {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return };
        if let Some(state) = sender.states.get_mut(&id.seq) {
            *state = AttemptState::Unknown;
        }
    }
}

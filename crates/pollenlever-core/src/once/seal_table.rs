use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

use super::Fate;
use crate::answer::{Answer, ErrorKind};
use crate::id::{AttemptId, NodeId};

/// Fates of the attempts that a gate has seen or sealed.
///
/// Memory is bounded: when an attempt is forgotten, the watermark of its sender rises to its
/// number. An attempt at or below the watermark that is not in the table is never started, and
/// whether it ran is not known. No clock takes part.
#[derive(Debug)]
pub(crate) struct SealTable {
    senders: BTreeMap<NodeId, Sender>,
    order: VecDeque<AttemptId>,
    answers: VecDeque<(AttemptId, usize)>,
    answer_bytes: usize,
    max_attempts: usize,
    max_answer_bytes: usize,
}

#[derive(Debug, Default)]
struct Sender {
    watermark: u64,
    fates: BTreeMap<u64, Fate>,
}

impl SealTable {
    /// A table of at most `max_attempts` ended attempts and `max_answer_bytes` of answers.
    pub(crate) fn new(max_attempts: usize, max_answer_bytes: usize) -> SealTable {
        SealTable {
            senders: BTreeMap::new(),
            order: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            max_attempts,
            max_answer_bytes,
        }
    }

    /// Registers an attempt that has arrived.
    ///
    /// # Errors
    ///
    /// Its fate, if the attempt was seen or sealed before; the caller must not start it.
    pub(crate) fn begin(&mut self, id: AttemptId) -> Result<(), Fate> {
        match self.fate(id) {
            Some(fate) => Err(fate),
            None => {
                self.insert(id, Fate::Waiting);
                Ok(())
            }
        }
    }

    /// Seals an attempt that has not arrived. Returns the fate that holds from now on.
    pub(crate) fn seal(&mut self, id: AttemptId) -> Fate {
        match self.fate(id) {
            Some(fate) => fate,
            None => {
                self.insert(id, Fate::Sealed(ErrorKind::Overloaded));
                Fate::Sealed(ErrorKind::Overloaded)
            }
        }
    }

    /// Records the fate of an attempt that has begun.
    pub(crate) fn set(&mut self, id: AttemptId, fate: Fate) {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return };
        sender.fates.insert(id.seq, fate);
    }

    /// Keeps the answer of an attempt, within the limit for answers.
    pub(crate) fn keep_answer(&mut self, id: AttemptId, answer: Answer, body: Bytes) {
        let len = body.len();
        self.set(id, Fate::Ended(answer, body));
        self.answers.push_back((id, len));
        self.answer_bytes += len;
        while self.answers.len() > self.max_attempts || self.answer_bytes > self.max_answer_bytes {
            let Some((oldest, len)) = self.answers.pop_front() else { break };
            self.answer_bytes -= len;
            self.drop_answer(oldest);
        }
    }

    /// Forgets the ended attempts of a sender that is said to be gone. It may be wrongly said of a
    /// paused sender, so what it has sent stays refused.
    pub(crate) fn sender_gone(&mut self, node: NodeId) {
        let Some(sender) = self.senders.get_mut(&node) else { return };
        let newest = sender.fates.last_key_value().map_or(0, |(seq, _)| *seq);
        sender.watermark = sender.watermark.max(newest);
        sender.fates.retain(|_, fate| fate.is_active());
    }

    fn fate(&self, id: AttemptId) -> Option<Fate> {
        let sender = self.senders.get(&id.sender)?;
        let known = sender.fates.get(&id.seq).cloned();
        known.or_else(|| (id.seq <= sender.watermark).then_some(Fate::Lost))
    }

    fn insert(&mut self, id: AttemptId, fate: Fate) {
        self.senders.entry(id.sender).or_default().fates.insert(id.seq, fate);
        self.order.push_back(id);
        let mut to_check = self.order.len().saturating_sub(self.max_attempts);
        while to_check > 0 {
            to_check -= 1;
            let Some(oldest) = self.order.pop_front() else { break };
            if !self.forget(oldest) {
                self.order.push_back(oldest);
            }
        }
    }

    /// Forgets an attempt unless it is active.
    fn forget(&mut self, id: AttemptId) -> bool {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return true };
        if sender.fates.get(&id.seq).is_some_and(Fate::is_active) {
            return false;
        }
        sender.fates.remove(&id.seq);
        sender.watermark = sender.watermark.max(id.seq);
        true
    }

    fn drop_answer(&mut self, id: AttemptId) {
        let Some(sender) = self.senders.get_mut(&id.sender) else { return };
        if let Some(fate) = sender.fates.get_mut(&id.seq) {
            *fate = Fate::Lost;
        }
    }
}

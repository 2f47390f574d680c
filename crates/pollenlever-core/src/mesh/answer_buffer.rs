use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use thiserror::Error;

use super::AnswerLimits;

/// An answer that is longer than the node reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer is longer than the node reads")]
pub struct AnswerTooLong;

/// Bytes that a node holds of the answers that it is reading; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct AnswerBuffer {
    limits: AnswerLimits,
    held: Arc<AtomicUsize>,
}

/// Bytes of the answer that is being read on one connection.
///
/// An answer may take at most half of what the others leave, so that answers without end do not
/// keep shorter ones from being read.
#[derive(Debug)]
pub struct AnswerBytes {
    buffer: AnswerBuffer,
    read: AtomicUsize,
    /// Most bytes of the present answer.
    limit: AtomicUsize,
}

impl AnswerBuffer {
    /// Creates a buffer that holds nothing.
    pub fn new(limits: AnswerLimits) -> AnswerBuffer {
        AnswerBuffer { limits, held: Arc::default() }
    }

    /// Bytes held of all answers that are being read.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// The bytes of a new connection.
    pub fn new_connection(&self) -> AnswerBytes {
        let limit = AtomicUsize::new(self.limits.max_head_bytes);
        AnswerBytes { buffer: self.clone(), read: AtomicUsize::new(0), limit }
    }
}

impl AnswerBytes {
    /// Starts counting for a new answer.
    pub fn start_answer(&self) {
        self.release();
        self.limit.store(self.buffer.limits.max_head_bytes, Ordering::Relaxed);
    }

    /// Records that the head of the answer is complete; its body may be longer.
    pub fn start_body(&self) {
        self.limit.store(self.buffer.limits.max_answer_bytes, Ordering::Relaxed);
    }

    /// Frees the bytes of the present answer.
    pub fn release(&self) {
        let read = self.read.swap(0, Ordering::Relaxed);
        self.buffer.held.fetch_sub(read, Ordering::Relaxed);
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// [`AnswerTooLong`] if the answer is longer than allowed; its connection has to be closed.
    ///
    /// ```
    /// use pollenlever_core::mesh::{AnswerBuffer, AnswerLimits};
    /// let limits = AnswerLimits { max_head_bytes: 100, ..AnswerLimits::default() };
    /// let bytes = AnswerBuffer::new(limits).new_connection();
    /// bytes.start_answer();
    /// assert!(bytes.record(100).is_ok());
    /// assert!(bytes.record(1).is_err());
    /// ```
    pub fn record(&self, bytes: usize) -> Result<(), AnswerTooLong> {
        let read = self.read.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let held = self.buffer.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let by_others = held.saturating_sub(read);
        let share = self.buffer.limits.max_held_bytes.saturating_sub(by_others) / 2;
        let limit = self.limit.load(Ordering::Relaxed).min(share);
        if read > limit { Err(AnswerTooLong) } else { Ok(()) }
    }

    /// Records a part of a body. Short parts cost much more time than their bytes, so each counts
    /// as if it were longer.
    ///
    /// # Errors
    ///
    /// [`AnswerTooLong`] as for [`record`](AnswerBytes::record).
    pub fn record_part(&self) -> Result<(), AnswerTooLong> {
        self.record(self.buffer.limits.part_cost_bytes)
    }
}

impl Drop for AnswerBytes {
    fn drop(&mut self) {
        self.release();
    }
}

use std::sync::atomic::{AtomicUsize, Ordering};

use thiserror::Error;

use super::AnswerLimits;

/// An answer that is longer than the node reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer is longer than the node reads")]
pub struct AnswerTooLong;

/// Bytes of the answer that is being read on one connection, the head included. The memory of its body is
/// counted in [`MemoryLedger`](crate::memory::MemoryLedger).
#[derive(Debug)]
pub struct AnswerBytes {
    limits: AnswerLimits,
    read: AtomicUsize,
    /// Most bytes of the present answer.
    limit: AtomicUsize,
}

impl AnswerBytes {
    /// The bytes of a new connection.
    pub fn new(limits: AnswerLimits) -> AnswerBytes {
        let limit = AtomicUsize::new(limits.max_head_bytes);
        AnswerBytes { limits, read: AtomicUsize::new(0), limit }
    }

    /// Starts counting for a new answer.
    pub fn start_answer(&self) {
        self.read.store(0, Ordering::Relaxed);
        self.limit.store(self.limits.max_head_bytes, Ordering::Relaxed);
    }

    /// Records that the head of the answer is complete; its body may be longer.
    pub fn start_body(&self) {
        let limit = self.limits.max_answer_bytes + self.limits.max_overhead_bytes;
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Checks the length that the head of the answer states.
    ///
    /// # Errors
    ///
    /// [`AnswerTooLong`] if the body would be longer than allowed.
    pub fn check_length(&self, bytes: usize) -> Result<(), AnswerTooLong> {
        if bytes > self.limits.max_answer_bytes { Err(AnswerTooLong) } else { Ok(()) }
    }

    /// Records bytes that were read.
    ///
    /// # Errors
    ///
    /// [`AnswerTooLong`] if the answer is longer than allowed; its connection has to be closed.
    ///
    /// ```
    /// use pollenlever_core::mesh::{AnswerBytes, AnswerLimits};
    /// let limits = AnswerLimits { max_head_bytes: 100, ..AnswerLimits::default() };
    /// let bytes = AnswerBytes::new(limits);
    /// bytes.start_answer();
    /// assert!(bytes.record(100).is_ok());
    /// assert!(bytes.record(1).is_err());
    /// ```
    pub fn record(&self, bytes: usize) -> Result<(), AnswerTooLong> {
        let read = self.read.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if read > self.limit.load(Ordering::Relaxed) { Err(AnswerTooLong) } else { Ok(()) }
    }

    /// Records a part of a body. Short parts cost much more time than their bytes, so each counts
    /// as if it were longer.
    ///
    /// # Errors
    ///
    /// [`AnswerTooLong`] as for [`record`](AnswerBytes::record).
    pub fn record_part(&self) -> Result<(), AnswerTooLong> {
        self.record(self.limits.part_cost_bytes)
    }
}

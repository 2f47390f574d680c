use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pollenlever_core::memory::{MessageKind, SMALL_MESSAGE_BYTES};

use super::{MemoryError, MessageMemory, Reservation};

/// A body of unknown length takes memory in steps, each larger than the one before by this factor.
const GROWTH_FACTOR: usize = 4;

/// A body that takes its memory before it is read. Its parts are copied into one buffer as they come: kept
/// apart, many short ones would take far more memory than their bytes.
#[derive(Debug)]
pub struct CountedBody {
    memory: MessageMemory,
    kind: MessageKind,
    /// Longest wait for each step.
    max_wait: Duration,
    reservation: Reservation,
    buf: BytesMut,
}

impl CountedBody {
    /// Takes the memory for a body of length `len`, if that is known, or else for a small one. Waits at most
    /// `max_wait` for it.
    ///
    /// # Errors
    ///
    /// [`MemoryError`] if it is not available in that time, or never.
    pub async fn start(
        memory: &MessageMemory,
        kind: MessageKind,
        len: Option<usize>,
        max_wait: Duration,
    ) -> Result<CountedBody, MemoryError> {
        let first_bytes = len.unwrap_or(SMALL_MESSAGE_BYTES);
        let reservation = memory.reserve(kind, first_bytes, max_wait).await?;
        let buf = BytesMut::with_capacity(len.unwrap_or_default());
        Ok(CountedBody { memory: memory.clone(), kind, max_wait, reservation, buf })
    }

    /// Adds a part, and takes more memory before if it does not fit. A body becomes no longer than
    /// `max_bytes`.
    ///
    /// # Errors
    ///
    /// [`MemoryError`] as for [`start`](CountedBody::start).
    pub async fn push(&mut self, part: &[u8], max_bytes: usize) -> Result<(), MemoryError> {
        let read = self.buf.len() + part.len();
        if read > self.reservation.bytes() {
            let available = self.memory.max_message_bytes(self.kind);
            let next = self.reservation.bytes().max(read).saturating_mul(GROWTH_FACTOR);
            let bytes = next.min(max_bytes).min(available).max(read);
            self.reservation.grow(bytes, self.max_wait).await?;
        }
        self.buf.extend_from_slice(part);
        Ok(())
    }

    /// Bytes read so far.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether nothing has been read.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Bytes for which memory is taken.
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// The whole body. Its memory is given back with the last reference to it.
    pub fn finish(self) -> Bytes {
        self.reservation.bind(self.buf.freeze())
    }
}

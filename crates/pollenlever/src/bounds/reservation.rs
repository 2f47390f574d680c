use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::memory::{HoldId, MessageKind, MessageLane, MessageSize};

use super::{MemoryError, MessageMemory};

/// Memory that was taken for one message; dropping it gives the memory back.
#[derive(Debug)]
pub struct Reservation {
    memory: MessageMemory,
    kind: MessageKind,
    holds: Vec<HoldId>,
    bytes: usize,
}

impl Reservation {
    pub(super) fn new(
        memory: MessageMemory,
        kind: MessageKind,
        hold: HoldId,
        bytes: usize,
    ) -> Reservation {
        Reservation { memory, kind, holds: vec![hold], bytes }
    }

    /// Size of the message for which the memory was taken, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more memory, for a message of `bytes` in all, and waits at most `max_wait` for it.
    ///
    /// # Errors
    ///
    /// [`MemoryError`] if it is not available in that time, or never.
    pub async fn grow(&mut self, bytes: usize, max_wait: Duration) -> Result<(), MemoryError> {
        let lane = MessageLane { kind: self.kind, size: MessageSize::of(bytes) };
        let more = bytes.saturating_sub(self.bytes);
        let hold = self.memory.hold(lane, more, max_wait).await?;
        self.holds.push(hold);
        self.bytes = self.bytes.max(bytes);
        Ok(())
    }

    /// Ties the memory to a body: it is given back when the last reference to the body is dropped.
    pub fn bind(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        for hold in &self.holds {
            self.memory.release(*hold);
        }
    }
}

/// A body with the memory that it takes.
struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

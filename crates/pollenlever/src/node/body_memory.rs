use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Largest body that takes its memory from the part for small ones, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Unit in which memory is counted, in bytes.
const BLOCK_BYTES: usize = 1 << 10;
/// Memory that a process may use unless its settings say otherwise, in bytes.
const DEFAULT_PROCESS_BYTES: usize = 256_000_000;
/// Share of the memory of the process that large bodies may take together, as numerator and
/// denominator.
const LARGE_SHARE: (usize, usize) = (9, 32);
/// Share that small bodies may take together.
const SMALL_SHARE: (usize, usize) = (1, 32);

/// Memory that a process may use for bodies of requests; clones share it.
///
/// A body takes its memory before it is read, and gives it back when its last reference is dropped.
/// Large and small bodies have parts of their own, so that small ones do not wait for large ones.
/// Within a part the memory is given in the order of asking.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::node::BodyMemory;
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let memory = BodyMemory::new(256_000_000);
/// let first = memory.reserve(60_000_000, Duration::ZERO).await.unwrap();
/// assert!(memory.reserve(60_000_000, Duration::ZERO).await.is_err());
/// assert!(memory.reserve(1_000, Duration::ZERO).await.is_ok());
/// drop(first);
/// assert!(memory.reserve(60_000_000, Duration::ZERO).await.is_ok());
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct BodyMemory {
    small: MemoryPart,
    large: MemoryPart,
}

#[derive(Debug, Clone)]
struct MemoryPart {
    blocks: Arc<Semaphore>,
    total_blocks: usize,
}

/// Why memory for a body is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyMemoryError {
    /// Other bodies take it, and have done so for as long as the body could wait.
    #[error("other bodies take the memory for bodies")]
    Taken,
    /// The body is larger than the memory for all large bodies.
    #[error("the body is larger than the memory for bodies, {available} bytes")]
    TooLarge {
        /// Memory for large bodies, in bytes.
        available: usize,
    },
}

/// Memory that was taken for one body; dropping it gives the memory back.
#[derive(Debug)]
pub struct BodyReservation {
    bytes: usize,
    _blocks: OwnedSemaphorePermit,
}

impl BodyMemory {
    /// Creates the memory for bodies of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> BodyMemory {
        let part =
            |(numerator, denominator)| MemoryPart::new(process_bytes / denominator * numerator);
        BodyMemory { small: part(SMALL_SHARE), large: part(LARGE_SHARE) }
    }

    /// Size of the largest body for which there is memory, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.large.total_blocks * BLOCK_BYTES
    }

    /// Takes memory for a body of `bytes`, and waits at most `max_wait` for it.
    ///
    /// # Errors
    ///
    /// [`BodyMemoryError`] if it is not available in that time, or never.
    pub async fn reserve(
        &self,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<BodyReservation, BodyMemoryError> {
        let part = if bytes <= SMALL_BODY_BYTES { &self.small } else { &self.large };
        part.reserve(bytes, max_wait).await
    }
}

/// The memory for bodies of a process that may use 256 MB.
impl Default for BodyMemory {
    fn default() -> BodyMemory {
        BodyMemory::new(DEFAULT_PROCESS_BYTES)
    }
}

impl MemoryPart {
    fn new(bytes: usize) -> MemoryPart {
        let total_blocks = bytes / BLOCK_BYTES;
        MemoryPart { blocks: Arc::new(Semaphore::new(total_blocks)), total_blocks }
    }

    async fn reserve(
        &self,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<BodyReservation, BodyMemoryError> {
        let count = bytes.div_ceil(BLOCK_BYTES);
        if count > self.total_blocks {
            let available = self.total_blocks * BLOCK_BYTES;
            return Err(BodyMemoryError::TooLarge { available });
        }
        let blocks = Arc::clone(&self.blocks).acquire_many_owned(count as u32);
        match timeout(max_wait, blocks).await {
            Ok(Ok(blocks)) => Ok(BodyReservation { bytes, _blocks: blocks }),
            // The semaphore is never closed.
            Ok(Err(_)) | Err(_) => Err(BodyMemoryError::Taken),
        }
    }
}

impl BodyReservation {
    /// Size of the body for which the memory was taken, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Ties the memory to a body: it is given back when the last reference to the body is dropped.
    pub fn bind(self, body: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBody { body, _reservation: self })
    }
}

/// A body with the memory that it takes.
struct ReservedBody {
    body: Bytes,
    _reservation: BodyReservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

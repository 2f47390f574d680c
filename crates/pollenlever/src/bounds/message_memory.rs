use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::memory::{
    Grant, HoldId, MemoryLedger, MemoryShares, MessageKind, MessageLane, MessageSize,
};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use super::{BoundsMetrics, ConnectionLimiter, Reservation};

/// Memory that a process may use unless its settings say otherwise, in bytes.
const DEFAULT_PROCESS_BYTES: usize = 256_000_000;
/// Interval at which connections are closed for messages that wait for memory.
const RELIEF_INTERVAL: Duration = Duration::from_millis(250);

/// Memory that a process may use for messages: bodies of requests and of answers; clones share it.
///
/// A message takes its memory before it is read, and gives it back when its last reference is dropped.
/// Large and small ones have parts of their own, so that small ones do not wait for large ones. Within a
/// part the memory is given in the order of asking.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::bounds::MessageMemory;
/// use pollenlever_core::memory::MessageKind;
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let memory = MessageMemory::new(256_000_000);
/// let body = MessageKind::Body;
/// let first = memory.reserve(body, 60_000_000, Duration::ZERO).await.unwrap();
/// assert!(memory.reserve(body, 60_000_000, Duration::ZERO).await.is_err());
/// assert!(memory.reserve(body, 1_000, Duration::ZERO).await.is_ok());
/// drop(first);
/// assert!(memory.reserve(body, 60_000_000, Duration::ZERO).await.is_ok());
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct MessageMemory {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Connections that are closed if they hold messages and do not move; `None` if there are none.
    callers: Option<ConnectionLimiter>,
    metrics: BoundsMetrics,
}

#[derive(Debug)]
struct State {
    ledger: MemoryLedger,
    /// Told when the memory that they wait for is held.
    waiting: HashMap<HoldId, oneshot::Sender<()>>,
    last_id: HoldId,
}

/// Why memory for a message is not available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum MemoryError {
    /// Others take it, and have done so for as long as the message could wait.
    #[error("other messages take the memory for messages")]
    Taken,
    /// The message is larger than the memory for all large ones of its kind.
    #[error("the message is larger than the memory for messages, {available} bytes")]
    TooLarge {
        /// Memory for large messages of the kind, in bytes.
        available: usize,
    },
}

impl MessageMemory {
    /// Creates the memory for messages of a process that may use `process_bytes` in all.
    pub fn new(process_bytes: usize) -> MessageMemory {
        let shares = MemoryShares::of_process(process_bytes);
        MessageMemory::with_callers(shares, None, BoundsMetrics::default())
    }

    /// Creates the memory with the connections of callers that are closed to make room.
    pub(crate) fn with_callers(
        shares: MemoryShares,
        callers: Option<ConnectionLimiter>,
        metrics: BoundsMetrics,
    ) -> MessageMemory {
        let ledger = MemoryLedger::new(shares);
        let state = Mutex::new(State { ledger, waiting: HashMap::new(), last_id: 0 });
        MessageMemory { shared: Arc::new(Shared { state, callers, metrics }) }
    }

    /// Size of the largest message of a kind for which there is memory, in bytes.
    pub fn max_message_bytes(&self, kind: MessageKind) -> usize {
        self.lock().ledger.available(MessageLane { kind, size: MessageSize::Large })
    }

    /// Bytes held for messages of a kind.
    pub fn held_bytes(&self, kind: MessageKind) -> usize {
        let state = self.lock();
        let lanes = MessageLane::ALL.into_iter().filter(|it| it.kind == kind);
        lanes.map(|it| state.ledger.held(it)).sum()
    }

    /// Number of messages that wait for memory like one of `bytes`.
    pub fn waiting_count(&self, kind: MessageKind, bytes: usize) -> usize {
        self.lock().ledger.waiting_count(MessageLane { kind, size: MessageSize::of(bytes) })
    }

    /// Takes memory for a message of `bytes`, and waits at most `max_wait` for it.
    ///
    /// # Errors
    ///
    /// [`MemoryError`] if it is not available in that time, or never.
    pub async fn reserve(
        &self,
        kind: MessageKind,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<Reservation, MemoryError> {
        let lane = MessageLane { kind, size: MessageSize::of(bytes) };
        let hold = self.hold(lane, bytes, max_wait).await?;
        Ok(Reservation::new(self.clone(), kind, hold, bytes))
    }

    /// Takes memory in a lane, to be given back by [`release`](MessageMemory::release).
    pub(super) async fn hold(
        &self,
        lane: MessageLane,
        bytes: usize,
        max_wait: Duration,
    ) -> Result<HoldId, MemoryError> {
        let (id, granted) = self.request(lane, bytes)?;
        let Some(granted) = granted else { return Ok(id) };
        let mut request = WaitingRequest { memory: self, id, is_held: false };
        if self.wait_until_granted(lane.size, granted, max_wait).await {
            request.is_held = true;
            return Ok(id);
        }
        self.shared.metrics.record_memory_refused();
        Err(MemoryError::Taken)
    }

    /// Asks for memory. Returns what tells when it is held, unless it is held already.
    fn request(
        &self,
        lane: MessageLane,
        bytes: usize,
    ) -> Result<(HoldId, Option<oneshot::Receiver<()>>), MemoryError> {
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        match state.ledger.request(id, lane, bytes) {
            Grant::Held => Ok((id, None)),
            Grant::TooLarge { available } => Err(MemoryError::TooLarge { available }),
            Grant::Waiting => {
                let (tx, rx) = oneshot::channel();
                state.waiting.insert(id, tx);
                Ok((id, Some(rx)))
            }
        }
    }

    /// Waits until memory is held, and closes connections that keep it from others meanwhile. Returns
    /// whether it is held.
    async fn wait_until_granted(
        &self,
        size: MessageSize,
        mut granted: oneshot::Receiver<()>,
        max_wait: Duration,
    ) -> bool {
        let deadline = Instant::now().checked_add(max_wait);
        let timed_out = async {
            match deadline {
                Some(deadline) => sleep_until(deadline).await,
                None => std::future::pending().await,
            }
        };
        tokio::pin!(timed_out);
        loop {
            tokio::select! {
                biased;
                granted = &mut granted => return granted.is_ok(),
                () = &mut timed_out => return false,
                () = sleep(RELIEF_INTERVAL) => {
                    if let Some(callers) = &self.shared.callers {
                        callers.relieve(size);
                    }
                }
            }
        }
    }

    pub(super) fn release(&self, hold: HoldId) {
        let mut state = self.lock();
        let granted = state.ledger.release(hold);
        state.notify(&granted);
    }

    fn give_up(&self, id: HoldId) {
        let mut state = self.lock();
        state.waiting.remove(&id);
        let granted = state.ledger.give_up(id);
        state.notify(&granted);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory for messages of a process that may use 256 MB.
impl Default for MessageMemory {
    fn default() -> MessageMemory {
        MessageMemory::new(DEFAULT_PROCESS_BYTES)
    }
}

impl State {
    fn notify(&mut self, granted: &[HoldId]) {
        for id in granted {
            if let Some(tx) = self.waiting.remove(id) {
                // A receiver that is gone gives its request up.
                let _ = tx.send(());
            }
        }
    }
}

/// A request for memory that is given up if its future is dropped before the memory is held.
struct WaitingRequest<'a> {
    memory: &'a MessageMemory,
    id: HoldId,
    is_held: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_held {
            self.memory.give_up(self.id);
        }
    }
}

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use pollenlever_core::memory::{
    ConnectionId, ConnectionLimits, ConnectionState, ConnectionTable, MessageSize, Opening,
};
use tokio::sync::Notify;

use super::{BoundsMetrics, ConnectionSlot};
use crate::mesh::{LogEvent, RequestLog, log_event};
use crate::node::Clock;

/// The open connections of one listening address; clones share them.
///
/// ```
/// use pollenlever::bounds::ConnectionLimiter;
/// use pollenlever_core::memory::ConnectionLimits;
/// let limits = ConnectionLimits { max_connections: 1, ..ConnectionLimits::default() };
/// let limiter = ConnectionLimiter::new("callers", limits);
/// let slot = limiter.open().expect("the first connection");
/// assert_eq!(limiter.open_count(), 1);
/// drop(slot);
/// assert_eq!(limiter.open_count(), 0);
/// ```
#[derive(Debug, Clone)]
pub struct ConnectionLimiter {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Name of the address in logs and metrics.
    address: &'static str,
    /// Time over which rates are determined.
    rate_window: Duration,
    clock: Clock,
    log: RequestLog,
    metrics: BoundsMetrics,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Signalled when the connection is to be closed.
    close_signals: HashMap<ConnectionId, Arc<Notify>>,
    last_id: ConnectionId,
}

impl ConnectionLimiter {
    /// Creates the limiter of an address that logs and metrics call `address`.
    pub fn new(address: &'static str, limits: ConnectionLimits) -> ConnectionLimiter {
        ConnectionLimiter::with_metrics(address, limits, BoundsMetrics::default())
    }

    pub(crate) fn with_metrics(
        address: &'static str,
        limits: ConnectionLimits,
        metrics: BoundsMetrics,
    ) -> ConnectionLimiter {
        let rate_window = limits.rate_window;
        let table = ConnectionTable::new(limits);
        let state = State { table, close_signals: HashMap::new(), last_id: 0 };
        let shared = Shared {
            address,
            rate_window,
            clock: Clock::default(),
            log: RequestLog::default(),
            metrics,
            state: Mutex::new(state),
        };
        ConnectionLimiter { shared: Arc::new(shared) }
    }

    /// Registers a new connection until its slot is dropped. `None` if it has to be closed, since all
    /// others are at work.
    pub fn open(&self) -> Option<ConnectionSlot> {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        state.last_id += 1;
        let id = state.last_id;
        match state.table.open(now, id) {
            Opening::Taken => {}
            Opening::Replaces(replaced) => self.close_all(&mut state, &[replaced], "too-many"),
            Opening::Refused => {
                self.record_closed(&state, "refused", 1);
                return None;
            }
        }
        let close_signal = Arc::new(Notify::new());
        state.close_signals.insert(id, Arc::clone(&close_signal));
        Some(ConnectionSlot::new(self.clone(), id, close_signal))
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.lock().table.len()
    }

    /// Closes connections for messages of a size that wait for memory.
    pub fn relieve(&self, size: MessageSize) {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let closed = state.table.relieve(now, size);
        self.close_all(&mut state, &closed, "holds-memory");
    }

    /// Sets what a connection takes for itself, in bytes. Returns whether there is room for it.
    pub(super) fn set_buffers(&self, id: ConnectionId, bytes: usize) -> bool {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let change = state.table.set_buffers(now, id, bytes);
        self.close_all(&mut state, &change.closed, "holds-buffers");
        if !change.is_granted {
            self.record_closed(&state, "no-room", 1);
        }
        change.is_granted
    }

    /// Changes the state of an open connection.
    pub(super) fn update(
        &self,
        id: ConnectionId,
        update: impl FnOnce(&mut ConnectionState, Duration),
    ) {
        let now = self.shared.clock.now();
        if let Some(state) = self.lock().table.get_mut(id) {
            update(state, now);
        }
    }

    /// Time over which rates are determined.
    pub(super) fn rate_window(&self) -> Duration {
        self.shared.rate_window
    }

    pub(super) fn remove(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.table.close(id);
        state.close_signals.remove(&id);
    }

    /// Signals connections that the table has removed to close.
    fn close_all(&self, state: &mut State, ids: &[ConnectionId], reason: &'static str) {
        for id in ids {
            if let Some(close_signal) = state.close_signals.remove(id) {
                close_signal.notify_one();
            }
        }
        self.record_closed(state, reason, ids.len());
    }

    fn record_closed(&self, state: &State, reason: &'static str, count: usize) {
        for _ in 0..count {
            self.shared.metrics.record_closed(self.shared.address, reason);
        }
        if count == 0 {
            return;
        }
        if let Some(omitted) = self.shared.log.admit_line(self.shared.clock.now()) {
            log_event!(
                LogEvent::ConnectionClosed,
                "address={} reason={reason} closed={count} open={} buffers={} omitted={omitted}",
                self.shared.address,
                state.table.len(),
                state.table.buffer_bytes()
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

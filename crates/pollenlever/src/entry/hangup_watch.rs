use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::id::CallId;

use super::connection_table::ConnectionTable;

/// Interval at which the connections of waiting callers are checked.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Notices callers that hang up while they wait.
///
/// The HTTP server lets a handler run on after its connection has closed and does not tell it, so
/// the watch looks the connection up in the system's table.
#[derive(Debug)]
pub struct HangupWatch {
    entry: SocketAddr,
    waiting: Mutex<HashMap<CallId, Waiting>>,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    caller: SocketAddr,
    since: Instant,
}

impl HangupWatch {
    /// Watch over the callers of the server at `entry`.
    pub fn new(entry: SocketAddr) -> HangupWatch {
        HangupWatch { entry, waiting: Mutex::default() }
    }

    /// Starts to watch a call.
    pub(super) fn add(&self, call: CallId, caller: SocketAddr) {
        self.lock().insert(call, Waiting { caller, since: Instant::now() });
    }

    /// Ends the watch over a call.
    pub(super) fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    /// Calls that have waited for a while and whose caller has hung up.
    pub(super) fn hung_up(&self) -> Vec<CallId> {
        let waiting: Vec<(CallId, SocketAddr)> = self.overdue();
        if waiting.is_empty() {
            return Vec::new();
        }
        let Some(table) = ConnectionTable::read(self.entry) else { return Vec::new() };
        let gone = waiting.into_iter().filter(|(_, caller)| !table.is_established(*caller));
        gone.map(|(call, _)| call).collect()
    }

    fn overdue(&self) -> Vec<(CallId, SocketAddr)> {
        let waiting = self.lock();
        let overdue = waiting.iter().filter(|(_, it)| it.since.elapsed() >= CHECK_INTERVAL);
        overdue.map(|(call, it)| (*call, it.caller)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Waiting>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

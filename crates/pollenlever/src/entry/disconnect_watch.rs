use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::id::CallId;

use super::connection_table::ConnectionTable;

/// Interval at which the connections of waiting callers are checked, and the time that a call waits
/// before its first check.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Detects callers that disconnect while they wait for an answer.
///
/// The HTTP server does not notify a handler when its connection closes, and the handler goes on
/// running. The watch therefore looks the connection up in the kernel's connection table.
#[derive(Debug)]
pub struct DisconnectWatch {
    entry: SocketAddr,
    waiting: Mutex<HashMap<CallId, WaitingCall>>,
}

#[derive(Debug, Clone, Copy)]
struct WaitingCall {
    caller: SocketAddr,
    since: Instant,
}

impl DisconnectWatch {
    /// Creates a watch for the callers of the HTTP server at `entry`.
    pub fn new(entry: SocketAddr) -> DisconnectWatch {
        DisconnectWatch { entry, waiting: Mutex::default() }
    }

    /// Starts to watch the connection of a call.
    pub(super) fn add(&self, call: CallId, caller: SocketAddr) {
        self.lock().insert(call, WaitingCall { caller, since: Instant::now() });
    }

    /// Stops watching the connection of a call.
    pub(super) fn remove(&self, call: CallId) {
        self.lock().remove(&call);
    }

    /// Calls that have waited for at least [`CHECK_INTERVAL`] and whose caller has disconnected.
    pub(super) fn disconnected_calls(&self) -> Vec<CallId> {
        let waiting: Vec<(CallId, SocketAddr)> = self.long_waiting();
        if waiting.is_empty() {
            return Vec::new();
        }
        let Some(table) = ConnectionTable::read(self.entry) else { return Vec::new() };
        let disconnected = waiting.into_iter().filter(|(_, caller)| !table.is_established(*caller));
        disconnected.map(|(call, _)| call).collect()
    }

    fn long_waiting(&self) -> Vec<(CallId, SocketAddr)> {
        let waiting = self.lock();
        let long_waiting = waiting.iter().filter(|(_, it)| it.since.elapsed() >= CHECK_INTERVAL);
        long_waiting.map(|(call, it)| (*call, it.caller)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, WaitingCall>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::Mutex as AsyncMutex;

use super::WireError;
use super::connection::Connection;

/// Open connections by address of the peer.
#[derive(Debug, Default)]
pub(super) struct Pool {
    local_ip: Option<IpAddr>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

#[derive(Debug, Default)]
struct Slot {
    state: AsyncMutex<SlotState>,
}

#[derive(Debug, Default)]
struct SlotState {
    connection: Option<Connection>,
    last_failure: Option<(Instant, WireError)>,
}

impl Pool {
    pub(super) fn new(local_ip: Option<IpAddr>) -> Pool {
        Pool { local_ip, ..Pool::default() }
    }

    /// The open connection to `addr`, or a new one. Callers that wait together share one attempt.
    pub(super) async fn connection(&self, addr: SocketAddr) -> Result<Connection, WireError> {
        let asked_at = Instant::now();
        let slot = self.slot(addr);
        let mut state = slot.state.lock().await;
        if let Some(connection) = state.connection.as_ref().filter(|it| it.is_open()) {
            return Ok(connection.clone());
        }
        if let Some((failed_at, err)) = &state.last_failure
            && *failed_at >= asked_at
        {
            return Err(err.clone());
        }
        match Connection::open(addr, self.local_ip).await {
            Ok(connection) => {
                state.connection = Some(connection.clone());
                Ok(connection)
            }
            Err(err) => {
                state.connection = None;
                state.last_failure = Some((Instant::now(), err.clone()));
                Err(err)
            }
        }
    }

    fn slot(&self, addr: SocketAddr) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(addr).or_default())
    }
}

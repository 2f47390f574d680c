use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use tokio::sync::Mutex as AsyncMutex;

use super::WireError;
use super::connection::Connection;

/// Pool with one connection for each peer address on which new streams are opened.
///
/// A suspect connection is replaced; its streams go on until it is closed.
#[derive(Debug, Default)]
pub(super) struct Pool {
    local_ip: Option<IpAddr>,
    peers: Mutex<HashMap<SocketAddr, Arc<PooledPeer>>>,
}

#[derive(Debug, Default)]
struct PooledPeer {
    state: AsyncMutex<PooledPeerState>,
}

#[derive(Debug, Default)]
struct PooledPeerState {
    connection: Option<Connection>,
    last_failure: Option<(Instant, WireError)>,
}

impl Pool {
    pub(super) fn new(local_ip: Option<IpAddr>) -> Pool {
        Pool { local_ip, ..Pool::default() }
    }

    /// Returns the usable connection to `addr`, or opens one. Callers that wait at the same time share
    /// one connection attempt and its failure.
    pub(super) async fn connection(&self, addr: SocketAddr) -> Result<Connection, WireError> {
        let requested_at = Instant::now();
        let peer = self.peer(addr);
        let mut state = peer.state.lock().await;
        let usable = state.connection.as_ref().filter(|it| it.is_open() && !it.is_suspect());
        if let Some(connection) = usable {
            return Ok(connection.clone());
        }
        if let Some((failed_at, err)) = &state.last_failure
            && *failed_at >= requested_at
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

    fn peer(&self, addr: SocketAddr) -> Arc<PooledPeer> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(addr).or_default())
    }
}

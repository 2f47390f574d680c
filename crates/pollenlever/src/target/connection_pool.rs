use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use pollenlever_core::mesh::{AnswerLimits, RequestId};
use thiserror::Error;

use super::TargetConnection;
use super::idle_limit::IdleLimit;
use crate::node::InFlightCounter;

/// Most idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Interval at which idle connections are closed that are no longer used.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Connections that are tried if the target closes them before the request is sent.
const MAX_CONNECTION_TRIES: usize = 3;

/// Settings of a [`ConnectionPool`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolSettings {
    /// Timeout for a new connection.
    pub(crate) connect_timeout: Duration,
    /// What is read of one answer.
    pub(crate) answers: AnswerLimits,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        PoolSettings {
            connect_timeout: Duration::from_millis(500),
            answers: AnswerLimits::default(),
        }
    }
}

/// Which idle connections may carry a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReuseRule<'a> {
    /// Longest time for which the connection has been idle.
    pub(crate) max_idle: Duration,
    /// Id of the request, which the target must not have rejected on the connection.
    pub(crate) request_id: Option<&'a RequestId>,
}

/// Why there is no head of an answer.
#[derive(Debug, Error)]
pub(crate) enum SendError {
    /// As many connections are in use as the target accepts.
    #[error("no connection left")]
    AtLimit,
    /// No byte of the request was sent.
    #[error("{0}")]
    Unreachable(String),
    /// The request may have arrived.
    #[error("{0}")]
    Lost(hyper::Error),
}

/// Sends requests to one target and reuses its connections.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    addr: SocketAddr,
    settings: PoolSettings,
    idle: Mutex<Vec<TargetConnection>>,
    idle_limit: IdleLimit,
    /// Counts open connections, in use or idle.
    open: InFlightCounter,
    /// Number of connections that the target accepts; 0 means unlimited.
    max_open: AtomicUsize,
}

impl ConnectionPool {
    pub(crate) fn new(addr: SocketAddr, settings: PoolSettings) -> ConnectionPool {
        ConnectionPool {
            addr,
            settings,
            idle: Mutex::default(),
            idle_limit: IdleLimit::default(),
            open: InFlightCounter::default(),
            max_open: AtomicUsize::new(0),
        }
    }

    /// Address of the target.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a request and waits for the head of the answer. Dropping the future closes the connection.
    ///
    /// # Errors
    ///
    /// [`SendError`], which says whether the request may have arrived.
    pub(crate) async fn send(
        &self,
        mut req: Request<Full<Bytes>>,
        rule: ReuseRule<'_>,
    ) -> Result<(TargetConnection, Response<Incoming>), SendError> {
        for _ in 0..MAX_CONNECTION_TRIES {
            let mut connection = self.connection(rule).await?;
            let (idle_time, sent_at) = (connection.idle_time(), Instant::now());
            let mut err = match connection.send(req).await {
                Ok(response) => {
                    if let Some(idle_time) = idle_time {
                        self.idle_limit.record_reuse(idle_time);
                    }
                    return Ok((connection, response));
                }
                Err(err) => err,
            };
            match err.take_message() {
                // The connection was closed before any of the request was sent.
                Some(unsent) => req = unsent,
                None => {
                    if let Some(idle_time) = idle_time {
                        self.idle_limit.record_loss(idle_time, sent_at.elapsed());
                    }
                    return Err(SendError::Lost(err.into_error()));
                }
            }
        }
        let reason = "connections closed before the request was sent".to_owned();
        Err(SendError::Unreachable(reason))
    }

    /// Takes back a connection whose answer was read to its end and that can be reused.
    pub(crate) fn keep(&self, connection: TargetConnection) {
        let mut idle = self.idle_connections();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Closes all idle connections, because the target was replaced.
    pub(crate) fn close_idle_connections(&self) {
        self.idle_connections().clear();
    }

    /// Closes idle connections that are no longer used, for as long as the node runs.
    pub(crate) async fn close_expired_connections(&self) {
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            self.idle_connections().retain(|it| it.is_reusable(Duration::MAX));
        }
    }

    /// Sets the number of connections that the target accepts; 0 means unlimited.
    pub(crate) fn set_max_connections(&self, max: u32) {
        self.max_open.store(max as usize, Ordering::Relaxed);
    }

    async fn connection(&self, rule: ReuseRule<'_>) -> Result<TargetConnection, SendError> {
        if let Some(connection) = self.take_idle(rule) {
            return Ok(connection);
        }
        self.make_room()?;
        let opened = TargetConnection::open(self.addr, self.settings, self.open.start()).await;
        opened.map_err(SendError::Unreachable)
    }

    /// Takes the connection that was used last of those that may carry a request.
    fn take_idle(&self, rule: ReuseRule<'_>) -> Option<TargetConnection> {
        let max_idle = rule.max_idle.min(self.idle_limit.get());
        let mut idle = self.idle_connections();
        idle.retain(|it| it.is_reusable(Duration::MAX));
        let has_rejected =
            |it: &TargetConnection| rule.request_id.is_some_and(|id| it.has_rejected(id));
        let may_carry = |it: &TargetConnection| it.is_reusable(max_idle) && !has_rejected(it);
        let at = idle.iter().rposition(may_carry)?;
        Some(idle.remove(at))
    }

    /// Closes an idle connection if as many are open as the target accepts.
    fn make_room(&self) -> Result<(), SendError> {
        let max_open = self.max_open.load(Ordering::Relaxed);
        if max_open == 0 || self.open.count() < max_open {
            return Ok(());
        }
        let closed = self.idle_connections().pop();
        closed.map(drop).ok_or(SendError::AtLimit)
    }

    fn idle_connections(&self) -> MutexGuard<'_, Vec<TargetConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

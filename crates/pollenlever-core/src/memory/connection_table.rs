use std::cmp::Reverse;
use std::collections::HashMap;

use super::{ConnectionId, ConnectionLimits, ConnectionState, MessageSize};
use crate::Timestamp;

/// What comes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Opening {
    /// It is taken.
    Taken,
    /// It is taken in place of an open one, which is to be closed.
    Replaces(ConnectionId),
    /// It is refused: each open connection is at work.
    Refused,
}

/// What comes of a change of the buffers of a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BufferChange {
    /// Whether the connection may take the bytes.
    pub is_granted: bool,
    /// Connections that are to be closed for it.
    pub closed: Vec<ConnectionId>,
}

/// Connections of one listening address, and which of them are closed when they are too many or hold
/// too much.
///
/// Load pattern: callers open many connections, and then send little or read little.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::memory::{ConnectionLimits, ConnectionTable, Opening};
/// let limits = ConnectionLimits { max_connections: 1, ..ConnectionLimits::default() };
/// let mut table = ConnectionTable::new(limits);
/// assert_eq!(table.open(Duration::ZERO, 1), Opening::Taken);
/// assert_eq!(table.open(Duration::from_secs(1), 2), Opening::Replaces(1));
/// ```
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    connections: HashMap<ConnectionId, ConnectionState>,
    buffer_bytes: usize,
}

impl ConnectionTable {
    /// Creates a table without connections.
    pub fn new(limits: ConnectionLimits) -> ConnectionTable {
        ConnectionTable { limits, connections: HashMap::new(), buffer_bytes: 0 }
    }

    /// Registers a new connection, unless it is refused. One that it replaces is removed.
    pub fn open(&mut self, now: Timestamp, id: ConnectionId) -> Opening {
        let opening = if self.connections.len() < self.limits.max_connections {
            Opening::Taken
        } else {
            match self.least_useful(now) {
                Some(replaced) => Opening::Replaces(replaced),
                None => return Opening::Refused,
            }
        };
        if let Opening::Replaces(replaced) = opening {
            self.close(replaced);
        }
        self.connections.insert(id, ConnectionState::new(now));
        opening
    }

    /// Removes a connection. Returns its state; `None` if it is not in the table.
    pub fn close(&mut self, id: ConnectionId) -> Option<ConnectionState> {
        let state = self.connections.remove(&id)?;
        self.buffer_bytes -= state.buffer_bytes;
        Some(state)
    }

    /// State of an open connection.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut ConnectionState> {
        self.connections.get_mut(&id)
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Bytes that the connections take for themselves.
    pub fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Sets what a connection takes for itself. Others are closed and removed if that makes room; if it
    /// does not, the connection keeps what it had.
    pub fn set_buffers(&mut self, now: Timestamp, id: ConnectionId, bytes: usize) -> BufferChange {
        let Some(before) = self.connections.get(&id).map(|it| it.buffer_bytes) else {
            return BufferChange { is_granted: false, closed: Vec::new() };
        };
        let mut closed = Vec::new();
        while bytes > before && self.buffer_bytes - before + bytes > self.limits.max_buffer_bytes {
            let Some(largest) = self.largest_buffer(now, id) else {
                return BufferChange { is_granted: false, closed };
            };
            self.close(largest);
            closed.push(largest);
        }
        self.buffer_bytes = self.buffer_bytes - before + bytes;
        if let Some(state) = self.connections.get_mut(&id) {
            state.buffer_bytes = bytes;
        }
        BufferChange { is_granted: true, closed }
    }

    /// Closes connections for the messages of a size that wait for memory: all that hold such a message
    /// and are stalled, or else the slowest one.
    pub fn relieve(&mut self, now: Timestamp, size: MessageSize) -> Vec<ConnectionId> {
        let limits = self.limits;
        let holders = || self.connections.iter().filter(|(_, it)| it.held(size) > 0);
        let mut closed: Vec<ConnectionId> =
            holders().filter(|(_, it)| it.is_stalled(now, &limits)).map(|(id, _)| *id).collect();
        if closed.is_empty() {
            let slow = holders().filter(|(_, it)| it.is_slow(now, &limits));
            let rate = |it: &ConnectionState| it.rate(now, &limits).unwrap_or_default();
            let slowest = slow.min_by(|a, b| rate(a.1).total_cmp(&rate(b.1)));
            closed.extend(slowest.map(|(id, _)| *id));
        }
        for id in &closed {
            self.close(*id);
        }
        closed
    }

    /// The connection whose end costs callers least: one that is stalled, or else idle, or else slow, or
    /// else one that has not sent its request yet.
    fn least_useful(&self, now: Timestamp) -> Option<ConnectionId> {
        let limits = &self.limits;
        let rank = |it: &ConnectionState| {
            let rank = if it.is_stalled(now, limits) {
                (0, it.last_progress)
            } else if it.is_idle() {
                (1, it.idle_since)
            } else if it.is_slow(now, limits) {
                (2, it.last_progress)
            } else if it.is_receiving_only() {
                (3, it.idle_since)
            } else {
                return None;
            };
            Some(rank)
        };
        let ranked = self.connections.iter().filter_map(|(id, it)| Some((rank(it)?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    /// The connection with the largest buffers, other than `id`, of those that are stalled, or else of those
    /// that are not at work.
    fn largest_buffer(&self, now: Timestamp, id: ConnectionId) -> Option<ConnectionId> {
        let others = self.connections.iter().filter(|(it, _)| **it != id);
        let ranked = others.filter_map(|(id, it)| {
            let rank = match it.is_stalled(now, &self.limits) {
                true => 0,
                false if it.is_receiving_only() || it.is_idle() => 1,
                false => return None,
            };
            Some((rank, Reverse(it.buffer_bytes), *id))
        });
        ranked.min().map(|(_, _, id)| id)
    }
}

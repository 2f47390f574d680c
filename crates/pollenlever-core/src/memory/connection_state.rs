use std::time::Duration;

use super::{ConnectionLimits, MessageSize};
use crate::Timestamp;

/// What a connection does and holds.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::memory::{ConnectionLimits, ConnectionState};
/// let limits = ConnectionLimits::default();
/// let mut state = ConnectionState::new(Duration::ZERO);
/// state.set_receiving(Duration::ZERO, true);
/// assert!(!state.is_stalled(Duration::from_millis(900), &limits));
/// assert!(state.is_stalled(Duration::from_secs(1), &limits));
/// ```
#[derive(Debug, Clone)]
pub struct ConnectionState {
    /// Bytes that the connection takes for itself.
    pub(super) buffer_bytes: usize,
    /// Bytes of small and of large messages that are held for it.
    held_bytes: [usize; 2],
    /// Requests that are not answered.
    running: usize,
    is_receiving: bool,
    is_sending: bool,
    /// When it last got or took a byte, or began to wait for one.
    pub(super) last_progress: Timestamp,
    /// When it last became idle.
    pub(super) idle_since: Timestamp,
    window_start: Timestamp,
    window_bytes: usize,
    /// Rate in the last whole window, in bytes per second.
    rate: Option<f64>,
}

impl ConnectionState {
    /// A connection that has just been opened.
    pub fn new(now: Timestamp) -> ConnectionState {
        ConnectionState {
            buffer_bytes: 0,
            held_bytes: [0; 2],
            running: 0,
            is_receiving: false,
            is_sending: false,
            last_progress: now,
            idle_since: now,
            window_start: now,
            window_bytes: 0,
            rate: None,
        }
    }

    /// Records whether the node waits for bytes of a request that has begun.
    pub fn set_receiving(&mut self, now: Timestamp, is_receiving: bool) {
        self.start_wait(now, is_receiving && !self.is_receiving);
        self.is_receiving = is_receiving;
    }

    /// Records whether the node waits until the other side takes bytes of an answer.
    pub fn set_sending(&mut self, now: Timestamp, is_sending: bool) {
        self.start_wait(now, is_sending && !self.is_sending);
        self.is_sending = is_sending;
    }

    /// Records bytes that came or were taken.
    pub fn record_progress(&mut self, now: Timestamp, bytes: usize, window: Duration) {
        self.last_progress = now;
        self.window_bytes += bytes;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= window {
            self.rate = Some(self.window_bytes as f64 / elapsed.as_secs_f64());
            self.window_start = now;
            self.window_bytes = 0;
        }
    }

    /// Records that a request begins.
    pub fn start_request(&mut self) {
        self.running += 1;
    }

    /// Records that a request is answered or dropped.
    pub fn end_request(&mut self, now: Timestamp) {
        self.running = self.running.saturating_sub(1);
        self.idle_since = now;
    }

    /// Records bytes of a message that are held for the connection.
    pub fn hold(&mut self, size: MessageSize, bytes: usize) {
        self.held_bytes[size as usize] += bytes;
    }

    /// Records that bytes of a message are no longer held.
    pub fn release(&mut self, size: MessageSize, bytes: usize) {
        self.held_bytes[size as usize] = self.held_bytes[size as usize].saturating_sub(bytes);
    }

    /// Bytes of messages of a size that are held for the connection.
    pub fn held(&self, size: MessageSize) -> usize {
        self.held_bytes[size as usize]
    }

    /// Whether no request has begun that is not answered.
    pub fn is_idle(&self) -> bool {
        self.running == 0 && !self.is_receiving && !self.is_sending
    }

    /// Whether the node waits for the other side.
    pub fn is_waiting(&self) -> bool {
        self.is_receiving || self.is_sending
    }

    /// Whether the node waits for the rest of a request that it has not begun to process.
    pub fn is_receiving_only(&self) -> bool {
        self.is_receiving && !self.is_sending
    }

    /// Whether the node has waited for long without a byte from the other side, or to it.
    pub fn is_stalled(&self, now: Timestamp, limits: &ConnectionLimits) -> bool {
        self.is_waiting() && now.saturating_sub(self.last_progress) >= limits.stalled_after
    }

    /// Rate at which the other side sends or reads, in bytes per second; `None` before it is known.
    pub fn rate(&self, now: Timestamp, limits: &ConnectionLimits) -> Option<f64> {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= limits.rate_window {
            return Some(self.window_bytes as f64 / elapsed.as_secs_f64());
        }
        self.rate
    }

    /// Whether the node waits for the other side, which is slow.
    pub fn is_slow(&self, now: Timestamp, limits: &ConnectionLimits) -> bool {
        self.is_waiting() && self.rate(now, limits).is_some_and(|it| it < limits.min_bytes_per_s)
    }

    /// The time in which nothing was asked of the other side does not count against it.
    fn start_wait(&mut self, now: Timestamp, begins: bool) {
        if begins && !self.is_waiting() {
            self.last_progress = now;
            self.window_start = now;
            self.window_bytes = 0;
        }
    }
}

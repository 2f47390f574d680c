use std::time::Duration;

/// Limits for the connections of one listening address.
///
/// ```
/// use pollenlever_core::memory::ConnectionLimits;
/// let limits = ConnectionLimits { max_connections: 8, ..ConnectionLimits::default() };
/// assert!(limits.max_buffer_bytes > 0);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConnectionLimits {
    /// Most open connections.
    pub max_connections: usize,
    /// Most bytes that the connections take together for themselves, messages not counted.
    pub max_buffer_bytes: usize,
    /// Time without a byte from the other side, or to it, after which a connection that waits for one is
    /// stalled.
    pub stalled_after: Duration,
    /// Rate below which a connection is slow, in bytes per second.
    pub min_bytes_per_s: f64,
    /// Time over which the rate is determined.
    pub rate_window: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> ConnectionLimits {
        ConnectionLimits {
            max_connections: 2_000,
            max_buffer_bytes: 32_000_000,
            stalled_after: Duration::from_secs(1),
            min_bytes_per_s: 64.0 * 1024.0,
            rate_window: Duration::from_secs(2),
        }
    }
}

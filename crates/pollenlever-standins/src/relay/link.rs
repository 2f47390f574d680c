use std::time::Duration;

/// How a link treats data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Data is forwarded.
    #[default]
    Up,
    /// Data is discarded; connections stay open.
    Silent,
    /// Like [`LinkState::Silent`] for connections opened before the state was set; later ones work.
    SilentForOpenConnections,
    /// Data is delayed by this time in addition to the link's delay.
    Slow(Duration),
    /// Connections are closed and new ones are refused.
    Cut,
}

/// Properties of a link in one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Link {
    /// One-way delay.
    pub delay: Duration,
    /// Bytes per second for each connection and direction; 0 for no limit. The relay does not
    /// enforce it.
    pub max_bytes_per_s: u64,
    /// How the link treats data.
    pub state: LinkState,
}

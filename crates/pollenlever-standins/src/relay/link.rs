use std::time::Duration;

/// What a link does with data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Data passes.
    #[default]
    Up,
    /// Data is swallowed; connections stay open.
    Silent,
    /// The same for connections that were open when the state was set; new ones work.
    SilentForOpen,
    /// Data is late by this time beyond the link's delay.
    Slow(Duration),
    /// Connections are closed and new ones are refused.
    Cut,
}

/// One link, for both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Link {
    /// Delay one way.
    pub delay: Duration,
    /// Bytes a second for each connection and direction; 0 for no limit.
    pub bytes_per_s: u64,
    /// What the link does with data.
    pub state: LinkState,
}

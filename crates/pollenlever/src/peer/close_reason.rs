/// Why a connection is closed; logged under the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// Streams were waiting, but the peer sent nothing and did not answer a ping.
    Silent,
    /// It had no open streams for long.
    Idle,
}

impl CloseReason {
    /// Level at which the end of the connection is logged.
    pub(super) fn log_level(self) -> log::Level {
        match self {
            CloseReason::Silent => log::Level::Warn,
            CloseReason::Idle => log::Level::Debug,
        }
    }
}

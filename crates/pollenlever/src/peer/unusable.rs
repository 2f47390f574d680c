/// Why a connection is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unusable {
    /// It had work but no sign of life from the peer.
    Silent,
    /// It had no work for long.
    Idle,
}

impl Unusable {
    /// Level at which the end of the connection is logged.
    pub(super) fn log_level(self) -> log::Level {
        match self {
            Unusable::Silent => log::Level::Warn,
            Unusable::Idle => log::Level::Debug,
        }
    }
}

/// Exit codes of `pollenlever`, as listed in its help.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    #[default]
    Done = 0,
    /// The store or a node could not be reached, or refused.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The manifest is wrong; nothing was applied.
    ManifestRefused = 3,
    /// Another submission came first.
    Overtaken = 4,
    /// The store's answers were lost.
    Unknown = 5,
    /// Accepted, but not seen in force on every node in time.
    NotInForce = 6,
    /// Some nodes did not answer.
    Incomplete = 7,
}

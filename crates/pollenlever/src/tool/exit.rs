/// Exit codes of `pollenlever`, as listed in its help.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    #[default]
    Done = 0,
    /// The store or a node could not be reached or refused the request, or a log could not be read.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The manifest is invalid; nothing was applied.
    ManifestRefused = 3,
    /// Another submission came first or replaced the configuration since.
    Overtaken = 4,
    /// The responses of the store were lost, so it is not known what was applied.
    Unknown = 5,
    /// The change was accepted, but was not seen in force on every node within the wait time.
    NotInForce = 6,
    /// The result is incomplete, because nodes did not answer or logs are missing.
    Incomplete = 7,
}

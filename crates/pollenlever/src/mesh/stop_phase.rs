/// How far a node is with its stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum StopPhase {
    /// It serves callers and other nodes.
    #[default]
    Running,
    /// It is not ready, and closes each connection of a caller after the requests received so far.
    Leaving,
    /// It refuses further requests.
    Stopped,
    /// Its grace period is over: open requests get an error.
    Abandoning,
}

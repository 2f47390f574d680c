use bytes::Bytes;

/// How a run on the target beside the node ended.
#[derive(Debug)]
pub(super) enum TargetResult {
    /// The target's whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<(String, Vec<u8>)>,
        /// Whole body.
        body: Bytes,
    },
    /// The target said that it did not run the request; its status.
    Rejected(u16),
    /// Another target has the address.
    WrongInstance,
    /// Nothing was sent: the target takes no connections.
    Unreachable(String),
    /// The request may have run: the connection failed or what came is not its answer.
    Unknown(String),
    /// The request was sent and not answered before its deadline.
    TimedOut,
}

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
    /// The target said that it did not run the request.
    Rejected,
    /// Another target has the address.
    WrongInstance,
    /// Nothing was sent: the target takes no connections.
    Unreachable(String),
    /// Nothing was sent: the target accepts no more connections.
    NoConnectionLeft,
    /// The request cannot be written as a request to the target; nothing was sent.
    Unsendable(String),
    /// The request may have run: the connection failed or what came is not its answer.
    Unknown(String),
    /// The request was sent and not answered before its deadline.
    TimedOut,
}

impl TargetResult {
    /// Name of the result in logs and metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            TargetResult::Answered { status: 500.., .. } => "target-error",
            TargetResult::Answered { .. } => "answered",
            TargetResult::Rejected => "rejected-by-target",
            TargetResult::WrongInstance => "wrong-instance",
            TargetResult::Unreachable(_) => "unreachable",
            TargetResult::NoConnectionLeft => "no-connection-left",
            TargetResult::Unsendable(_) => "unsendable",
            TargetResult::Unknown(_) => "unknown",
            TargetResult::TimedOut => "timed-out",
        }
    }

    /// What was seen, where the name does not say it.
    pub(super) fn reason(&self) -> &str {
        match self {
            TargetResult::Unreachable(reason)
            | TargetResult::Unsendable(reason)
            | TargetResult::Unknown(reason) => reason,
            _ => self.name(),
        }
    }
}

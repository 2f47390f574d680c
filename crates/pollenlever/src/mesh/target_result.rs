use bytes::Bytes;

/// How a run on the target beside the node ended.
#[derive(Debug)]
pub(super) enum TargetResult {
    /// The complete answer of the target.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers to forward.
        headers: Vec<(String, Vec<u8>)>,
        /// Complete body.
        body: Bytes,
    },
    /// The target stated that it did not run the request.
    Rejected,
    /// Another instance of the target has the address.
    WrongInstance,
    /// Nothing was sent: the target accepts no connections.
    Unreachable(String),
    /// Nothing was sent: as many connections are in use as the target accepts.
    NoConnectionLeft,
    /// The request cannot be encoded as HTTP; nothing was sent.
    Unsendable(String),
    /// The request may have run: the connection failed, or the answer is not one to this request.
    Unknown(String),
    /// The request was not answered before its deadline; it may have run.
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

    /// Detail of the result; its name if there is no other.
    pub(super) fn reason(&self) -> &str {
        match self {
            TargetResult::Unreachable(reason)
            | TargetResult::Unsendable(reason)
            | TargetResult::Unknown(reason) => reason,
            _ => self.name(),
        }
    }
}

use super::Outcome;

/// Whether and when a caller may send its request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ComeBack {
    /// Sending it again does not help.
    Never,
    /// Another node or a new connection may take it at once.
    Now,
    /// After the time in which the backlog drains.
    AfterBacklog,
}

/// A row of the table from error kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Whether and when to come back.
    pub come_back: ComeBack,
    /// Text for the caller that says what to do.
    pub message: &'static str,
}

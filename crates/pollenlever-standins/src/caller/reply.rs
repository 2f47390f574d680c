/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran: `ran`, `not-run` or `unknown`; empty if the answer does not say.
    pub outcome: String,
    /// Chain of the call (id by which nodes limit the retries of related calls); a resend repeats
    /// it.
    pub chain: Option<String>,
    /// Body.
    pub text: String,
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran: `ran`, `not-run` or `unknown`; empty if the answer does not say.
    pub outcome: String,
    /// Id of the chain of related calls, by which nodes limit retries; a resend repeats it.
    pub chain_id: Option<String>,
    /// Body.
    pub text: String,
}

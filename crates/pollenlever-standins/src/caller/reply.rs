/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Chain of the call.
    pub chain: Option<String>,
    /// Whole body.
    pub text: String,
}

use thiserror::Error;

/// Error for a text that does not have the form of the expected id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("malformed id `{text}`: expected {expected}")]
pub struct ParseIdError {
    /// The text as received, shortened to 80 characters.
    pub text: String,
    /// The expected form.
    pub expected: &'static str,
}

impl ParseIdError {
    pub(crate) fn new(text: &str, expected: &'static str) -> ParseIdError {
        ParseIdError { text: text.chars().take(80).collect(), expected }
    }
}

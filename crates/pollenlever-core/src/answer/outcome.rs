use bincode::{Decode, Encode};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Outcome {
    /// The request ran and its complete answer was received.
    Ran,
    /// The request has not run and will never run.
    NotRun,
    /// The request may have run; it will not be run again.
    Unknown,
}

impl Outcome {
    /// Name of the outcome in the `pollenlever-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

use bincode::{Decode, Encode};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Outcome {
    /// The request ran and the whole answer is here.
    Ran,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; it is never run again.
    Unknown,
}

impl Outcome {
    /// The word used in the `pollenlever-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

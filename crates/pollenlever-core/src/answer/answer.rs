use std::time::Duration;

use bincode::{Decode, Encode};

use super::{ErrorKind, Outcome};

/// Head of the answer to a request; its body travels beside it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the target's answer.
    pub headers: Vec<(String, String)>,
    /// What is known about the request.
    pub outcome: Outcome,
    /// Why there is no answer from the target.
    pub error: Option<ErrorKind>,
    /// Time after which the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Whole answer of a target.
    pub fn ran(status: u16, headers: Vec<(String, String)>) -> Answer {
        Answer { status, headers, outcome: Outcome::Ran, error: None, retry_after: None }
    }

    /// Answer for an error kind, by the table of [`ErrorKind::response`].
    pub fn from_error(kind: ErrorKind, retry_after: Option<Duration>) -> Answer {
        let row = kind.response();
        let headers = Vec::new();
        Answer { status: row.status, headers, outcome: row.outcome, error: Some(kind), retry_after }
    }

    /// The answer to a resend, of which an earlier send may have run.
    ///
    /// ```
    /// use pollenlever_core::answer::{Answer, ErrorKind, Outcome};
    /// let answer = Answer::from_error(ErrorKind::QueueFull, None);
    /// assert_eq!(answer.outcome, Outcome::NotRun);
    /// assert_eq!(answer.unsure().outcome, Outcome::Unknown);
    /// ```
    pub fn unsure(mut self) -> Answer {
        if self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        self
    }
}

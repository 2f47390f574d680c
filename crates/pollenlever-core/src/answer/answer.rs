use std::time::Duration;

use bincode::{Decode, Encode};

use super::{ErrorKind, Outcome};

/// Head of the answer to a request; the body is sent separately.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Headers of the target's answer; empty if there is none.
    pub headers: Vec<(String, String)>,
    /// What is known about whether the request ran.
    pub outcome: Outcome,
    /// Reason for which there is no answer from a target; `None` if there is one.
    pub error: Option<ErrorKind>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Complete answer from a target.
    pub fn from_target(status: u16, headers: Vec<(String, String)>) -> Answer {
        Answer { status, headers, outcome: Outcome::Ran, error: None, retry_after: None }
    }

    /// Answer for an error, with the status and outcome of [`ErrorKind::response`].
    pub fn from_error(kind: ErrorKind, retry_after: Option<Duration>) -> Answer {
        let response = kind.response();
        let headers = Vec::new();
        Answer {
            status: response.status,
            headers,
            outcome: response.outcome,
            error: Some(kind),
            retry_after,
        }
    }

    /// Changes the outcome [`NotRun`](Outcome::NotRun) to [`Unknown`](Outcome::Unknown), for a
    /// request of which an earlier attempt may have run.
    ///
    /// ```
    /// use pollenlever_core::answer::{Answer, ErrorKind, Outcome};
    /// let answer = Answer::from_error(ErrorKind::QueueFull, None);
    /// assert_eq!(answer.outcome, Outcome::NotRun);
    /// assert_eq!(answer.with_unknown_outcome().outcome, Outcome::Unknown);
    /// ```
    pub fn with_unknown_outcome(mut self) -> Answer {
        if self.outcome == Outcome::NotRun {
            self.outcome = Outcome::Unknown;
        }
        self
    }
}

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::policy::Observation;

use super::Reason;

const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// How an ended call counts towards the service-level objective of its request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The complete answer arrived within the deadline.
    Good,
    /// The caller made an error; the call counts neither for nor against the objective.
    Invalid(ErrorKind),
    /// The call counts against the objective and uses up error budget.
    Bad(Reason),
}

impl Verdict {
    /// Classifies an ended call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever::telemetry::{Reason, Verdict};
    /// use pollenlever_core::policy::Observation;
    /// let late = Observation {
    ///     service: "balance".into(),
    ///     kind: "check".into(),
    ///     workspace: "ateneo".into(),
    ///     status: 200,
    ///     error: None,
    ///     latency: Duration::from_secs(3),
    ///     is_good: false,
    /// };
    /// assert_eq!(Verdict::of(&late), Verdict::Bad(Reason::Late));
    /// ```
    pub fn of(call: &Observation) -> Verdict {
        match call.error {
            Some(kind) if is_caller_error(kind) => Verdict::Invalid(kind),
            Some(kind) => Verdict::Bad(Reason::Error(kind)),
            None if call.status >= MIN_SERVER_ERROR_STATUS => Verdict::Bad(Reason::TargetError),
            None if call.is_good => Verdict::Good,
            None => Verdict::Bad(Reason::Late),
        }
    }

    /// Returns the label in metrics: `good`, `invalid` or `bad`.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Good => "good",
            Verdict::Invalid(_) => "invalid",
            Verdict::Bad(_) => "bad",
        }
    }
}

fn is_caller_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::MalformedRequest
            | ErrorKind::UnknownService
            | ErrorKind::UnknownRequestKind
            | ErrorKind::MethodNotAllowed
            | ErrorKind::BodyTooLarge
            | ErrorKind::HeaderTooLarge
            | ErrorKind::KeyRequired
            | ErrorKind::KeyMalformed
            | ErrorKind::KeyForeign
            | ErrorKind::KeyReused
            | ErrorKind::CallerKeyUnsupported
    )
}

use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::answer::{ErrorKind, Outcome};
use pollenlever_core::mesh::{AttemptOutcome, AttemptReply, NextStep, is_not_run_status};
use pollenlever_core::message::GateLoad;

use super::routed_request::RoutedRequest;

/// An answer of a target.
pub(super) struct TargetAnswer {
    pub(super) status: u16,
    /// Whether it is a failure caused by overloaded downstream services.
    pub(super) failed_downstream: bool,
    pub(super) load: GateLoad,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) body: Bytes,
}

/// Final result of a request.
pub(super) enum RequestResult {
    /// The answer of a target.
    Answer(TargetAnswer),
    /// An error from the node itself, with the `Retry-After` to send.
    Error(ErrorKind, Option<Duration>),
}

impl RequestResult {
    /// Whether it says that the request has not run and never will.
    pub(super) fn is_not_run(&self) -> bool {
        matches!(self, RequestResult::Error(kind, _) if kind.response().outcome == Outcome::NotRun)
    }
}

/// Records the answer of a target, in case no later attempt brings a better one.
pub(super) fn record_answer(last: &mut Option<TargetAnswer>, reply: AttemptReply, body: Bytes) {
    let (status, failed_downstream) = match reply.outcome {
        AttemptOutcome::Answered(status) => (status, false),
        AttemptOutcome::FailedDownstream(status) => (status, true),
        _ => return,
    };
    let AttemptReply { headers, load, .. } = reply;
    *last = Some(TargetAnswer { status, failed_downstream, load, headers, body });
}

/// Result of a request whose last step is `step`. The last answer of a target is passed on, unless
/// the caller would read its status as a guarantee that the request did not run.
pub(super) fn final_result(
    req: &RoutedRequest,
    step: NextStep,
    last_answer: Option<TargetAnswer>,
) -> RequestResult {
    let is_usable = |it: &TargetAnswer| req.route.is_idempotent || !is_not_run_status(it.status);
    match (last_answer.filter(is_usable), step) {
        (Some(answer), _) => RequestResult::Answer(answer),
        (None, NextStep::Fail(kind, retry_after)) => RequestResult::Error(kind, retry_after),
        (None, NextStep::Deliver | NextStep::Retry { .. }) => {
            RequestResult::Error(ErrorKind::OutcomeUnknown, None)
        }
    }
}

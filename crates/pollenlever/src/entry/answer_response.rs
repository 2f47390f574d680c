use std::io::Cursor;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::answer::{Answer, ErrorKind, RetryAdvice, is_final_status};
use pollenlever_core::id::ChainId;
use rocket::Response;
use rocket::http::{ContentType, Header, Status};

use super::error_body::ErrorBody;

/// Retry-after time, without jitter, that a caller gets when the event ring is full.
const FULL_RING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Exclusive upper bound of the random time that is added, so that callers do not retry all at
/// once.
const FULL_RING_JITTER_MS: u64 = 1000;

/// Builds the HTTP response for an answer. An error gets a JSON body in place of `body`.
pub(super) fn answer_response(
    chain: Option<ChainId>,
    answer: Answer,
    body: Bytes,
) -> Response<'static> {
    if !is_final_status(answer.status) {
        // A gate of an earlier build passes it on.
        return error_response(ErrorKind::OutcomeUnknown);
    }
    let mut builder = Response::build();
    builder.status(Status::new(answer.status));
    for (name, value) in answer.headers {
        builder.raw_header_adjoin(name, value);
    }
    if let Some(chain) = chain {
        builder.raw_header("pollenlever-chain", chain.to_string());
    }
    builder.raw_header("pollenlever-outcome", answer.outcome.as_str());
    let retry_after = retry_after(answer.error, answer.retry_after);
    if let Some(retry_after) = retry_after {
        builder.header(Header::new("Retry-After", ceil_seconds(retry_after).to_string()));
        builder.raw_header("pollenlever-retry-after-ms", ceil_millis(retry_after).to_string());
    }
    let body = match answer.error {
        None => body,
        Some(kind) => {
            builder.raw_header("pollenlever-error", kind.as_str());
            builder.header(ContentType::JSON);
            error_json(kind, answer.outcome.as_str(), retry_after)
        }
    };
    builder.sized_body(body.len(), Cursor::new(body)).finalize()
}

/// Builds the HTTP response for an error that the entry itself found.
pub(super) fn error_response(kind: ErrorKind) -> Response<'static> {
    answer_response(None, entry_error(kind), Bytes::new())
}

/// Builds the HTTP response when the event ring is full. If `is_resend`, its outcome is unknown:
/// the earlier send may have run.
pub(super) fn queue_full_response(is_resend: bool) -> Response<'static> {
    let answer = entry_error(ErrorKind::QueueFull);
    let answer = if is_resend { answer.with_unknown_outcome() } else { answer };
    answer_response(None, answer, Bytes::new())
}

fn entry_error(kind: ErrorKind) -> Answer {
    let retry_after = match kind.response().retry_advice {
        RetryAdvice::AfterBacklog => {
            let jitter = rand::random_range(0..FULL_RING_JITTER_MS);
            Some(FULL_RING_RETRY_AFTER + Duration::from_millis(jitter))
        }
        RetryAdvice::Now | RetryAdvice::Never => None,
    };
    Answer::from_error(kind, retry_after)
}

fn retry_after(error: Option<ErrorKind>, requested: Option<Duration>) -> Option<Duration> {
    let retry_advice = error.map(|kind| kind.response().retry_advice);
    match retry_advice {
        Some(RetryAdvice::Now) => Some(requested.unwrap_or(Duration::ZERO)),
        _ => requested,
    }
}

fn error_json(kind: ErrorKind, outcome: &'static str, retry_after: Option<Duration>) -> Bytes {
    let message = kind.response().message;
    let retry_after_ms = retry_after.map(ceil_millis);
    let body = ErrorBody { error: kind.as_str(), message, outcome, retry_after_ms };
    serde_json::to_vec(&body).map(Bytes::from).unwrap_or_default()
}

fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_secs() + u64::from(wait.subsec_nanos() > 0)
}

fn ceil_millis(wait: Duration) -> u64 {
    wait.as_micros().div_ceil(1000) as u64
}

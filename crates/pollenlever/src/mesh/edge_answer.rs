use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use pollenlever_core::answer::{ErrorKind, Outcome, RetryAdvice, is_final_status};

use super::forwarded_headers;

/// Shortest `Retry-After` that a refused caller gets if the gate gave none.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Largest random time added to [`MIN_RETRY_AFTER`], so that refused callers do not all retry at
/// once.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(300);

/// Response to a caller.
pub(super) type EdgeResponse = Response<Full<Bytes>>;

/// Response that carries the target's answer unchanged. A gate of an earlier build may pass on a status
/// that HTTP does not have; such an answer is none.
pub(super) fn target_answer(
    status: u16,
    headers: &[(String, Vec<u8>)],
    body: Bytes,
) -> EdgeResponse {
    let mut response = Response::new(Full::new(body));
    match StatusCode::from_u16(status) {
        Ok(code) if is_final_status(status) => *response.status_mut() = code,
        _ => return error_answer(ErrorKind::OutcomeUnknown, None),
    }
    forwarded_headers::append_headers(response.headers_mut(), headers);
    response
}

/// Response for an error, as [`ErrorKind::response`] defines it.
pub(super) fn error_answer(kind: ErrorKind, retry_after: Option<Duration>) -> EdgeResponse {
    let row = kind.response();
    let mut response = Response::new(Full::new(Bytes::from_static(row.message.as_bytes())));
    let status = match kind {
        // Callers read status 429 as a guarantee that the request has not run.
        ErrorKind::Suspect => Ok(StatusCode::TOO_MANY_REQUESTS),
        _ => StatusCode::from_u16(row.status),
    };
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert("pollenlever-outcome", HeaderValue::from_static(row.outcome.as_str()));
    headers.insert("pollenlever-error", HeaderValue::from_static(kind.as_str()));
    if row.outcome == Outcome::NotRun && row.retry_advice != RetryAdvice::Never {
        insert_retry_after(headers, retry_after);
    }
    response
}

fn insert_retry_after(headers: &mut HeaderMap, requested: Option<Duration>) {
    let wait = requested.unwrap_or_else(|| {
        MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(rand::random_range(0.0..1.0))
    });
    let text = format!("{:.3}", wait.as_secs_f64());
    headers.insert(RETRY_AFTER, text.parse().expect("digits and a point"));
}

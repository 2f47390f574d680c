use std::str::FromStr;
use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, ChainId, CustomerId, RequestKey};
use rocket::http::HeaderMap;

use crate::gate::is_end_to_end;

/// Customer of a call that names none.
const ANONYMOUS: &str = "anonymous";
/// Longest name of a customer, in bytes.
const MAX_CUSTOMER_BYTES: usize = 128;

/// What the headers of a call say.
#[derive(Debug)]
pub(super) struct CallHeaders {
    pub(super) key: Option<RequestKey>,
    pub(super) chain: Option<ChainId>,
    pub(super) parent: Option<AttemptId>,
    pub(super) customer: CustomerId,
    pub(super) timeout: Option<Duration>,
    pub(super) passed_on: Vec<(String, String)>,
}

impl CallHeaders {
    pub(super) fn parse(headers: &HeaderMap<'_>) -> Result<CallHeaders, ErrorKind> {
        if headers.contains("idempotency-key") {
            return Err(ErrorKind::CallerKeyUnsupported);
        }
        let timeout_ms: Option<u64> =
            single(headers, "pollenlever-deadline-ms", ErrorKind::MalformedRequest)?;
        Ok(CallHeaders {
            key: single(headers, "pollenlever-key", ErrorKind::KeyMalformed)?,
            chain: single(headers, "pollenlever-chain", ErrorKind::MalformedRequest)?,
            parent: single(headers, "pollenlever-call", ErrorKind::MalformedRequest)?,
            customer: customer(headers)?,
            timeout: timeout_ms.map(Duration::from_millis),
            passed_on: passed_on(headers),
        })
    }
}

/// The value of a header that may come once, or `err`.
fn single<T: FromStr>(
    headers: &HeaderMap<'_>,
    name: &str,
    err: ErrorKind,
) -> Result<Option<T>, ErrorKind> {
    let mut values = headers.get(name);
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(err);
    }
    value.trim().parse().map(Some).map_err(|_| err)
}

fn customer(headers: &HeaderMap<'_>) -> Result<CustomerId, ErrorKind> {
    let customer: Option<String> =
        single(headers, "pollenlever-customer", ErrorKind::MalformedRequest)?;
    match customer {
        None => Ok(ANONYMOUS.into()),
        Some(name) if name.is_empty() || name.len() > MAX_CUSTOMER_BYTES => {
            Err(ErrorKind::MalformedRequest)
        }
        Some(name) => Ok(name.into()),
    }
}

fn passed_on(headers: &HeaderMap<'_>) -> Vec<(String, String)> {
    let named = headers.iter().map(|it| (it.name().as_str().to_lowercase(), it.value().to_owned()));
    named.filter(|(name, _)| is_end_to_end(name)).collect()
}

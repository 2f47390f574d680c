use std::str::FromStr;
use std::time::Duration;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, ChainId, RequestKey, WorkspaceName};
use rocket::http::HeaderMap;

use crate::gate::is_end_to_end;

/// Workspace of a call without a `pollenlever-workspace` header.
const ANONYMOUS: &str = "anonymous";
/// Longest name of a workspace, in bytes.
const MAX_WORKSPACE_BYTES: usize = 128;

/// The parsed headers of a call.
#[derive(Debug)]
pub(super) struct CallHeaders {
    /// Request key that the caller took for the call.
    pub(super) key: Option<RequestKey>,
    /// Chain of an earlier answer; the call is a resend if present.
    pub(super) chain: Option<ChainId>,
    /// Attempt during which a target makes this call.
    pub(super) parent: Option<AttemptId>,
    pub(super) workspace: WorkspaceName,
    /// Time that the caller waits; `None` if it sent no deadline header.
    pub(super) timeout: Option<Duration>,
    /// Headers for the target, names in lower case.
    pub(super) forwarded: Vec<(String, String)>,
}

impl CallHeaders {
    pub(super) fn parse(headers: &HeaderMap<'_>) -> Result<CallHeaders, ErrorKind> {
        if headers.contains("idempotency-key") {
            return Err(ErrorKind::CallerKeyUnsupported);
        }
        let timeout_ms: Option<u64> =
            parse_single(headers, "pollenlever-deadline-ms", ErrorKind::MalformedRequest)?;
        Ok(CallHeaders {
            key: parse_single(headers, "pollenlever-key", ErrorKind::KeyMalformed)?,
            chain: parse_single(headers, "pollenlever-chain", ErrorKind::MalformedRequest)?,
            parent: parse_single(headers, "pollenlever-call", ErrorKind::MalformedRequest)?,
            workspace: parse_workspace(headers)?,
            timeout: timeout_ms.map(Duration::from_millis),
            forwarded: forwarded_headers(headers),
        })
    }
}

/// Parses a header that may occur at most once. Returns `err` if it is repeated or malformed.
fn parse_single<T: FromStr>(
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

fn parse_workspace(headers: &HeaderMap<'_>) -> Result<WorkspaceName, ErrorKind> {
    let workspace: Option<String> =
        parse_single(headers, "pollenlever-customer", ErrorKind::MalformedRequest)?;
    match workspace {
        None => Ok(ANONYMOUS.into()),
        Some(name) if name.is_empty() || name.len() > MAX_WORKSPACE_BYTES => {
            Err(ErrorKind::MalformedRequest)
        }
        Some(name) => Ok(name.into()),
    }
}

fn forwarded_headers(headers: &HeaderMap<'_>) -> Vec<(String, String)> {
    let named = headers.iter().map(|it| (it.name().as_str().to_lowercase(), it.value().to_owned()));
    named.filter(|(name, _)| is_end_to_end(name)).collect()
}

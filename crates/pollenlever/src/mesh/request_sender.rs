use std::sync::Arc;

use http::HeaderMap;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::mesh::{HttpRoute, RunningRequests};
use pollenlever_core::workspace::Workspace;

use super::log_event::{LogEvent, log_event};
use super::routes_in_force::RoutesInForce;
use super::{HeaderNames, MeshShared};

/// Who sent a request.
#[derive(Debug, Clone)]
pub(super) enum RequestSender {
    /// A caller with an API key of this workspace.
    Caller(Arc<Workspace>),
    /// Not known, since the request needs no API key.
    Unidentified,
}

impl RequestSender {
    /// Identifies the sender of the request `id` of `route`. A call of the target carries no key, also
    /// on a route that is not public; its id shows which run made it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownApiKey`] if the request needs a key and has none that is known;
    /// [`ErrorKind::WrongIncarnation`] if it has none and looks like a call of an unknown run.
    pub(super) fn identify(
        shared: &MeshShared,
        routes: &RoutesInForce,
        route: &HttpRoute,
        headers: &HeaderMap,
        id: &str,
    ) -> Result<RequestSender, ErrorKind> {
        if routes.workspaces.is_empty() {
            return Ok(RequestSender::Unidentified);
        }
        let has_credentials = headers.contains_key(&shared.names.authorization);
        let key = api_key(&shared.names, headers);
        match key.and_then(|it| routes.workspaces.find(it)) {
            Some(workspace) => Ok(RequestSender::Caller(Arc::clone(workspace))),
            None if route.is_public => Ok(RequestSender::Unidentified),
            None if !has_credentials && shared.gate.is_call_of_run(id) => {
                Ok(RequestSender::Unidentified)
            }
            // The run may be one that an earlier process of this node started.
            None if !has_credentials && RunningRequests::is_call_id(id) => {
                Err(ErrorKind::WrongIncarnation)
            }
            None => {
                record_unknown_key(shared, route, has_credentials);
                Err(ErrorKind::UnknownApiKey)
            }
        }
    }

    /// The caller's workspace, if it is known.
    pub(super) fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            RequestSender::Caller(workspace) => Some(workspace),
            RequestSender::Unidentified => None,
        }
    }
}

/// The API key of a request; `None` if it has none, or more than one.
fn api_key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let mut values = headers.get_all(&names.authorization).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(names.key_scheme).then(|| key.trim())
}

fn record_unknown_key(shared: &MeshShared, route: &HttpRoute, has_credentials: bool) {
    shared.metrics.record_unknown_key();
    if let Some(omitted) = shared.request_log.admit_line(shared.clock.now()) {
        log_event!(
            LogEvent::ApiKeyRefused,
            "route={} has_key={has_credentials} omitted={omitted}",
            route.name
        );
    }
}

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, header::HOST};
use hyper::body::Incoming;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::Importance;
use pollenlever_core::id::{AttemptId, ServiceName, WorkspaceName};
use pollenlever_core::mesh::{
    HttpRoute, Lineage, MeshAttempt, RequestId, RouteTable, RouteVersion,
};

use super::log_event::{LogEvent, log_event};
use super::request_body::BodyReader;
use super::request_sender::RequestSender;
use super::routes_in_force::RoutesInForce;
use super::{MeshShared, forwarded_headers};
use crate::bounds::ConnectionSlot;

/// A request waits at a gate for at most the latency objective of its route divided by this.
const MAX_WAIT_LATENCY_DIVISOR: u32 = 8;
/// A call made by a target waits at a gate for at most the time left divided by this: its caller
/// has been admitted already, and refusing the call wastes that work.
const MAX_WAIT_CALL_DIVISOR: u32 = 2;
/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A request of a caller with the route that applies to it.
pub(super) struct RoutedRequest {
    pub(super) id: RequestId,
    pub(super) service: ServiceName,
    pub(super) route: HttpRoute,
    /// Version of the route table that was used.
    pub(super) route_version: RouteVersion,
    method: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    pub(super) body: Bytes,
    /// Arrival time on the node's clock.
    pub(super) arrived: Duration,
    /// Time on the node's clock at which the caller, the route or this node, if it leaves, gives up.
    pub(super) deadline: Duration,
    /// Position of the request in its call chain.
    pub(super) lineage: Lineage,
    /// Workspace on whose behalf the chain runs; `None` if it is not known.
    workspace: Option<WorkspaceName>,
    /// Workspace whose quota the request uses; `None` if it uses none.
    pub(super) quota_workspace: Option<WorkspaceName>,
}

impl RoutedRequest {
    /// Reads a request with its body and finds its route. `slot` is the connection of the caller.
    ///
    /// # Errors
    ///
    /// The kind of error to answer the request with.
    pub(super) async fn read(
        shared: &MeshShared,
        req: Request<Incoming>,
        slot: &Arc<ConnectionSlot>,
    ) -> Result<RoutedRequest, ErrorKind> {
        let arrived = shared.clock.now();
        let routes = shared.routes_in_force().ok_or(ErrorKind::NoConfiguration)?;
        let table = &routes.table;
        let (parts, body) = req.into_parts();
        let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
        let host = host.or(parts.uri.host()).ok_or(ErrorKind::MalformedRequest)?;
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        let found = table.find(host, &path).cloned();
        let route = found.ok_or_else(|| refuse_unknown_route(shared, host, &parts.headers))?;
        let id = request_id(shared, &parts.headers)?;
        check_head_size(table, &parts.headers)?;
        let time_budget = time_budget(shared, &parts.headers);
        let expires = arrived + time_budget;
        let sender = RequestSender::identify(shared, &routes, &route, &parts.headers, &id)?;
        let service = shared.choose_service(&route).ok_or(ErrorKind::NoTarget)?;
        let (lineage, workspace) = shared.lineage(&id, &route, expires, &sender);
        let max_wait = time_budget.min(route.timeout);
        let reader = BodyReader {
            memory: &shared.memory,
            slot,
            max_bytes: table.limits.max_body_bytes,
            max_time: max_wait,
        };
        let body = reader.read(body).await?;
        let deadline = arrived + max_wait;
        let deadline = deadline.min(shared.latest_deadline());
        Ok(RoutedRequest {
            id,
            service,
            route_version: table.version,
            method: parts.method.as_str().to_owned(),
            path,
            headers: target_headers(shared, &routes, &sender, &parts.headers),
            body,
            arrived,
            deadline,
            lineage,
            workspace,
            quota_workspace: sender
                .workspace()
                .filter(|it| it.quota.is_some())
                .map(|it| it.name.clone()),
            route,
        })
    }

    /// Whether the request is tried at more gates while all gates are overloaded.
    pub(super) fn is_urgent(&self) -> bool {
        self.lineage.is_call() || self.lineage.importance >= Importance::High
    }

    /// Head of an attempt sent at `now`. `repeat` is the probability that the attempt repeats a
    /// run.
    pub(super) fn head(
        &self,
        shared: &MeshShared,
        id: AttemptId,
        now: Duration,
        repeat: f32,
    ) -> MeshAttempt {
        let time_left = self.deadline.saturating_sub(now);
        let max_wait = if self.lineage.is_call() {
            time_left / MAX_WAIT_CALL_DIVISOR
        } else {
            (self.route.latency_objective / MAX_WAIT_LATENCY_DIVISOR).min(time_left)
        };
        MeshAttempt {
            id,
            request_id: self.id.clone(),
            service: self.service.clone(),
            caller: shared.own_service(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            lineage: Lineage { repeat, ..self.lineage },
            workspace: self.workspace.clone(),
            is_idempotent: self.route.is_idempotent,
            time_left,
            max_wait,
            remembered: None,
        }
    }
}

/// Logs that no route matches a request, with how far the routes may lag behind the store.
fn refuse_unknown_route(shared: &MeshShared, host: &str, headers: &HeaderMap) -> ErrorKind {
    if let Some(omitted) = shared.request_log.admit_line(shared.clock.now()) {
        log_event!(
            LogEvent::RouteNotFound,
            "request={} host={host:?} routes={} confirmed_age_ms={} omitted={omitted}",
            request_id(shared, headers).as_deref().unwrap_or("none"),
            shared.route_version(),
            shared.routes_confirmed_age().as_millis()
        );
    }
    ErrorKind::UnknownRequestKind
}

fn request_id(shared: &MeshShared, headers: &HeaderMap) -> Result<RequestId, ErrorKind> {
    let id = headers.get(&shared.names.request_id).and_then(|it| it.to_str().ok());
    id.map(RequestId::from).ok_or(ErrorKind::MalformedRequest)
}

fn time_budget(shared: &MeshShared, headers: &HeaderMap) -> Duration {
    let text = headers.get(&shared.names.deadline_ms).and_then(|it| it.to_str().ok());
    let millis = text.and_then(|it| it.trim().parse().ok());
    millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Headers to forward to the target, without those that the node sets itself. With workspaces, the
/// target gets the name of the sender's workspace in place of the key.
fn target_headers(
    shared: &MeshShared,
    routes: &RoutesInForce,
    sender: &RequestSender,
    headers: &HeaderMap,
) -> Vec<(String, Vec<u8>)> {
    let names = &shared.names;
    let mut headers = headers.clone();
    for name in [&names.deadline_ms, &names.expected_instance, &names.caller_service] {
        headers.remove(name);
    }
    if !routes.workspaces.is_empty() {
        headers.remove(&names.authorization);
        headers.remove(&names.workspace);
    }
    if let Some(workspace) = sender.workspace() {
        match HeaderValue::from_str(&workspace.name) {
            Ok(name) => drop(headers.insert(&names.workspace, name)),
            Err(_) => log::error!("not a header value workspace={:?}", workspace.name),
        }
    }
    forwarded_headers::end_to_end_headers(&headers)
}

fn check_head_size(table: &RouteTable, headers: &HeaderMap) -> Result<(), ErrorKind> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes > table.limits.max_header_bytes { Err(ErrorKind::HeaderTooLarge) } else { Ok(()) }
}

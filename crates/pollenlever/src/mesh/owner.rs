use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, header::HOST};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::Importance;
use pollenlever_core::id::{AttemptId, ChainId, NodeId, ServiceName};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, Delivery, HttpRoute, MeshAttempt, MeshReply, MeshRequest,
    NextStep, RequestId, RouteTable,
};
use pollenlever_core::message::{GateLoad, PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use pollenlever_core::routing::RouteRequest;

use super::edge_answer::{EdgeResponse, error_answer, target_answer};
use super::forwarded_headers;
use super::mesh_shared::MeshShared;

/// Part of the latency target for which a request may wait at a gate.
const WAIT_PART_OF_TARGET: u32 = 8;
/// Part of the time left for which a call of a target may wait at a gate: its caller has been
/// admitted already, and refusing it wastes that work.
const WAIT_PART_OF_INNER: u32 = 2;
/// Longest wait for a gate's word about an attempt whose reply was lost.
const SEAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Share of a target's calls that fail under overload, in thousandths, from which a failure of the
/// target is put down to it.
pub(super) const STRAINED_PERMILLE: u16 = 20;
/// Deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// The one that decides about a request: the node that took it from its caller.
pub(super) struct Owner {
    shared: Arc<MeshShared>,
}

/// A request with what its route says about it.
struct OwnedRequest {
    id: RequestId,
    service: ServiceName,
    route: HttpRoute,
    method: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
    /// Time at which the caller or the route gives up, by the node's clock.
    deadline: Duration,
    is_inner: bool,
    /// Chance that the run that makes this call is itself a repeat.
    repeat: f32,
}

/// An answer of a target.
struct TargetAnswer {
    status: u16,
    load: GateLoad,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl Owner {
    pub(super) fn new(shared: Arc<MeshShared>) -> Owner {
        Owner { shared }
    }

    /// Answers a request. If the future is dropped, the caller has hung up and the work ends.
    pub(super) async fn answer(&self, req: Request<Incoming>) -> EdgeResponse {
        let _open = self.shared.open_work.enter();
        match self.read(req).await {
            Ok(req) => self.deliver(req).await,
            Err(kind) => error_answer(kind, None),
        }
    }

    async fn read(&self, req: Request<Incoming>) -> Result<OwnedRequest, ErrorKind> {
        let arrived = self.shared.clock.now();
        let table = self.shared.routes().ok_or(ErrorKind::NoConfiguration)?;
        let (parts, body) = req.into_parts();
        let host = parts.headers.get(HOST).and_then(|it| it.to_str().ok());
        let host = host.or(parts.uri.host()).ok_or(ErrorKind::MalformedRequest)?;
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        let route = table.find(host, &path).ok_or(ErrorKind::UnknownRequestKind)?.clone();
        let id = self.request_id(&parts.headers)?;
        check_head_size(&table, &parts.headers)?;
        let service = self.shared.choose_service(&route).ok_or(ErrorKind::NoTarget)?;
        let time_budget = self.time_budget(&parts.headers);
        let is_inner = self.shared.is_call(&route, arrived + time_budget);
        let deadline = arrived + time_budget.min(route.timeout);
        let body = read_body(&table, body).await?;
        Ok(OwnedRequest {
            id,
            service,
            method: parts.method.as_str().to_owned(),
            path,
            headers: self.passed_on(&parts.headers),
            body,
            deadline,
            is_inner,
            repeat: if is_inner { self.shared.gate.repeat_share() } else { 0.0 },
            route,
        })
    }

    fn request_id(&self, headers: &HeaderMap) -> Result<RequestId, ErrorKind> {
        let id = headers.get(&self.shared.names.request_id).and_then(|it| it.to_str().ok());
        id.map(RequestId::from).ok_or(ErrorKind::MalformedRequest)
    }

    fn time_budget(&self, headers: &HeaderMap) -> Duration {
        let text = headers.get(&self.shared.names.deadline_ms).and_then(|it| it.to_str().ok());
        let millis = text.and_then(|it| it.trim().parse().ok());
        millis.map_or(DEFAULT_DEADLINE, Duration::from_millis)
    }

    fn passed_on(&self, headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
        let names = &self.shared.names;
        let mut headers = headers.clone();
        for name in [&names.deadline_ms, &names.expected_instance, &names.caller_service] {
            headers.remove(name);
        }
        forwarded_headers::passed_on(&headers)
    }

    async fn deliver(&self, req: OwnedRequest) -> EdgeResponse {
        self.shared.count_request(&req.service);
        self.shared.charge_repeat(&req.service, req.repeat);
        let left = req.deadline.saturating_sub(self.shared.clock.now());
        let is_urgent = req.is_inner || req.route.importance() == Importance::Critical;
        let mut delivery = Delivery::new(req.route.idempotent, req.route.max_attempts, is_urgent);
        match tokio::time::timeout(left, self.attempts(&req, &mut delivery)).await {
            Ok(response) => response,
            Err(_) => {
                log::info!("request failed request={} error=deadline-passed", req.id);
                self.note_call(&req, 0.0, true);
                error_answer(ErrorKind::DeadlinePassed, None)
            }
        }
    }

    /// Sends attempts until one gives the answer or nothing more can be tried.
    async fn attempts(&self, req: &OwnedRequest, delivery: &mut Delivery) -> EdgeResponse {
        let mut last_answer = None;
        loop {
            let gate = match self.choose(req, delivery) {
                Ok(gate) => gate,
                Err(step) => return self.finish(req, step, last_answer),
            };
            let repeat = if delivery.maybe_ran() { 1.0 } else { req.repeat };
            let (reply, body) = self.attempt(req, gate, repeat).await;
            let step = delivery.ended(gate, &reply.outcome);
            let cost = retry_cost(delivery, &reply.load);
            if let AttemptOutcome::Answered(status) = reply.outcome {
                let (headers, load) = (reply.headers, reply.load);
                last_answer = Some(TargetAnswer { status, load, headers, body });
            }
            match step {
                NextStep::Retry { is_paid }
                    if !is_paid || self.shared.take_retry(&req.service, cost) =>
                {
                    log::debug!("retry request={} gate={gate} outcome={:?}", req.id, reply.outcome);
                }
                NextStep::Retry { .. } => return self.finish(req, delivery.fail(), last_answer),
                step => return self.finish(req, step, last_answer),
            }
        }
    }

    fn finish(
        &self,
        req: &OwnedRequest,
        step: NextStep,
        last_answer: Option<TargetAnswer>,
    ) -> EdgeResponse {
        // What a target answered is passed on, unless the caller would take it for not run.
        let is_usable = |it: &TargetAnswer| req.route.idempotent || !says_not_run(it.status);
        if let Some(answer) = last_answer.filter(is_usable) {
            let is_strained =
                answer.status >= 500 && answer.load.strained_permille >= STRAINED_PERMILLE;
            self.note_call(req, f64::from(answer.load.calls_percent) / 100.0, is_strained);
            return target_answer(answer.status, &answer.headers, answer.body);
        }
        let (kind, retry_after) = match step {
            NextStep::Fail(kind, retry_after) => (kind, retry_after),
            NextStep::Deliver | NextStep::Retry { .. } => (ErrorKind::OutcomeUnknown, None),
        };
        self.note_call(req, 0.0, is_overload(kind));
        log::info!(
            "request failed request={} service={} error={}",
            req.id,
            req.service,
            kind.as_str()
        );
        error_answer(kind, retry_after)
    }

    /// Chooses the gate of the next attempt.
    fn choose(&self, req: &OwnedRequest, delivery: &Delivery) -> Result<NodeId, NextStep> {
        if let Some(gates) = delivery.confined_to() {
            let open = gates.iter().find(|it| !delivery.avoided().contains(it));
            return open.copied().ok_or_else(|| delivery.fail());
        }
        let route = RouteRequest {
            service: &req.service,
            importance: req.route.importance(),
            chain: ChainId { origin: self.shared.me, seq: self.shared.draw_id() },
            depth: u8::from(req.is_inner),
            bytes: req.body.len() as u64,
            tried: delivery.avoided(),
        };
        self.shared.choose_gate(&route).map_err(|none| {
            if delivery.avoided().is_empty() {
                NextStep::Fail(none.error, Some(none.retry_after))
            } else {
                delivery.fail()
            }
        })
    }

    /// Tells the gate how a call of its target ended.
    fn note_call(&self, req: &OwnedRequest, beneath: f64, is_strained: bool) {
        if req.is_inner {
            self.shared.gate.note_call(beneath, is_strained);
        }
    }

    async fn attempt(
        &self,
        req: &OwnedRequest,
        gate: NodeId,
        repeat: f32,
    ) -> (AttemptReply, Bytes) {
        let now = self.shared.clock.now();
        let id = AttemptId { sender: self.shared.me, seq: self.shared.draw_id() };
        let head = self.head(req, id, now, repeat);
        let sent = self.shared.note_sent(gate, req.body.len() as u64);
        let result = if gate == self.shared.me {
            Ok(self.shared.gate.attempt(head, req.body.clone()).await)
        } else {
            self.exchange(gate, head, req.body.clone()).await
        };
        match result {
            Ok((reply, body)) => {
                sent.replied(&reply.load, body.len() as u64);
                (reply, body)
            }
            Err(failure) => {
                sent.failed();
                let outcome = self.after_failure(req, gate, id, failure).await;
                (failed_reply(outcome), Bytes::new())
            }
        }
    }

    async fn exchange(
        &self,
        gate: NodeId,
        head: MeshAttempt,
        body: Bytes,
    ) -> Result<(AttemptReply, Bytes), SendFailure> {
        let id = head.request_id.clone();
        let req = PeerRequest::Mesh(MeshRequest::Attempt(head));
        match self.shared.peers.exchange(gate, req, body).await {
            Ok((PeerReply::Mesh(MeshReply::Attempt(reply)), body)) => {
                self.shared.note_routes(gate, reply.routes);
                Ok((reply, body))
            }
            // Another process has the address; it looked at nothing.
            Ok((PeerReply::Refused(ErrorKind::WrongIncarnation), _)) => {
                self.shared.member_replaced(gate);
                Err(SendFailure::Untouched)
            }
            Ok((reply, _)) => {
                log::warn!("unexpected reply request={id} gate={gate} reply={reply:?}");
                Err(SendFailure::Lost)
            }
            Err(err) => {
                log::info!(
                    "attempt lost request={id} gate={gate} failure={:?} reason={:?}",
                    err.failure,
                    err.reason
                );
                Err(err.failure)
            }
        }
    }

    /// What an attempt without a reply means for the request.
    async fn after_failure(
        &self,
        req: &OwnedRequest,
        gate: NodeId,
        attempt: AttemptId,
        failure: SendFailure,
    ) -> AttemptOutcome {
        match failure {
            SendFailure::Untouched => AttemptOutcome::NotSent,
            SendFailure::Lost if req.route.idempotent => AttemptOutcome::Unknown,
            SendFailure::Lost if self.seal(gate, attempt).await => AttemptOutcome::NotSent,
            SendFailure::Lost => AttemptOutcome::Unknown,
        }
    }

    /// Asks a gate to make sure that an attempt never starts. Returns whether it is sure.
    async fn seal(&self, gate: NodeId, attempt: AttemptId) -> bool {
        let req = PeerRequest::Mesh(MeshRequest::Seal(attempt));
        let asked = self.shared.peers.exchange(gate, req, Bytes::new());
        let reply = tokio::time::timeout(SEAL_TIMEOUT, asked).await;
        matches!(reply, Ok(Ok((PeerReply::Mesh(MeshReply::Sealed(true)), _))))
    }

    fn head(&self, req: &OwnedRequest, id: AttemptId, now: Duration, repeat: f32) -> MeshAttempt {
        let time_left = req.deadline.saturating_sub(now);
        let max_wait = if req.is_inner {
            time_left / WAIT_PART_OF_INNER
        } else {
            (req.route.latency_target / WAIT_PART_OF_TARGET).min(time_left)
        };
        MeshAttempt {
            id,
            request_id: req.id.clone(),
            service: req.service.clone(),
            caller: self.shared.own_service(),
            method: req.method.clone(),
            path: req.path.clone(),
            headers: req.headers.clone(),
            importance: req.route.importance(),
            is_inner: req.is_inner,
            idempotent: req.route.idempotent,
            repeat,
            time_left,
            max_wait,
        }
    }
}

fn failed_reply(outcome: AttemptOutcome) -> AttemptReply {
    AttemptReply { outcome, headers: Vec::new(), load: Default::default(), routes: 0 }
}

/// What a retry draws from the budget: itself, and the calls that a target makes again if the
/// request has run before.
fn retry_cost(delivery: &Delivery, load: &GateLoad) -> f64 {
    let beneath = if delivery.maybe_ran() { f64::from(load.calls_percent) / 100.0 } else { 0.0 };
    1.0 + beneath
}

/// Whether an error says that a service is overloaded.
fn is_overload(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::Overloaded | ErrorKind::QueueFull | ErrorKind::DeadlineTooShort)
}

/// Whether a caller takes the status as the promise that its request did not run.
fn says_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

fn check_head_size(table: &RouteTable, headers: &HeaderMap) -> Result<(), ErrorKind> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes > table.limits.max_header_bytes { Err(ErrorKind::HeaderTooLarge) } else { Ok(()) }
}

async fn read_body(table: &RouteTable, body: Incoming) -> Result<Bytes, ErrorKind> {
    match Limited::new(body, table.limits.max_body_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge),
        Err(err) => {
            log::debug!("body of a request not read reason={:?}", err.to_string());
            Err(ErrorKind::MalformedRequest)
        }
    }
}

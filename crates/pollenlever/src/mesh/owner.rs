use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use hyper::body::Incoming;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, NodeId};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, Delivery, MeshAttempt, MeshReply, MeshRequest, NextStep,
    RetryGrant, says_not_run,
};
use pollenlever_core::message::{GateLoad, PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use pollenlever_core::routing::RouteRequest;

use super::edge_answer::{EdgeResponse, error_answer, target_answer};
use super::log_event::{LogEvent, log_event};
use super::mesh_shared::MeshShared;
use super::open_request::OpenRequest;
use super::owned_request::OwnedRequest;
use super::pipeline::Turn;

/// Longest wait for a gate's word about an attempt whose reply was lost.
const SEAL_TIMEOUT: Duration = Duration::from_millis(400);

/// The one that decides about a request: the node that took it from its caller.
pub(super) struct Owner {
    shared: Arc<MeshShared>,
}

/// An answer of a target.
struct TargetAnswer {
    status: u16,
    /// Whether it is a failure that services further down caused.
    failed_beneath: bool,
    load: GateLoad,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

/// What the caller gets in the end.
enum Ending {
    /// A target's answer.
    Answer(TargetAnswer),
    /// An error of the node's own.
    Error(ErrorKind, Option<Duration>),
}

impl Owner {
    pub(super) fn new(shared: Arc<MeshShared>) -> Owner {
        Owner { shared }
    }

    /// Answers a request whose place on its connection is `turn`. If the future is dropped, the
    /// caller has hung up and the work ends.
    pub(super) async fn answer(&self, req: Request<Incoming>, turn: &Turn) -> EdgeResponse {
        let _open = self.shared.open_work.enter();
        match OwnedRequest::read(&self.shared, req).await {
            Ok(req) => {
                if !req.route.idempotent {
                    turn.until_first().await;
                }
                self.deliver(req).await
            }
            Err(kind) => error_answer(kind, None),
        }
    }

    async fn deliver(&self, req: OwnedRequest) -> EdgeResponse {
        self.shared.count_request(&req.service);
        self.shared.charge_repeat(&req.service, req.lineage.repeat);
        let left = req.deadline.saturating_sub(self.shared.clock.now());
        let mut delivery =
            Delivery::new(req.route.idempotent, req.route.max_attempts, req.is_urgent());
        let open = OpenRequest::new(&self.shared, &req);
        let ending = tokio::time::timeout(left, self.attempts(&req, &mut delivery)).await;
        let ending = ending.unwrap_or(Ending::Error(ErrorKind::DeadlinePassed, None));
        match ending {
            Ending::Answer(answer) => {
                let beneath = f64::from(answer.load.calls_percent) / 100.0;
                self.note_call(&req, beneath, answer.failed_beneath);
                open.answered(answer.status, &delivery);
                target_answer(answer.status, &answer.headers, answer.body)
            }
            Ending::Error(kind, retry_after) => {
                self.note_call(&req, 0.0, is_overload(kind));
                open.failed(kind, &delivery);
                error_answer(kind, retry_after)
            }
        }
    }

    /// Sends attempts until one gives the answer or nothing more can be tried.
    async fn attempts(&self, req: &OwnedRequest, delivery: &mut Delivery) -> Ending {
        let mut last_answer = None;
        loop {
            let gate = match self.choose(req, delivery) {
                Ok(gate) => gate,
                Err(step) => return ending(req, step, last_answer),
            };
            let repeat = if delivery.maybe_ran() { 1.0 } else { req.lineage.repeat };
            let (reply, body) = self.attempt(req, gate, repeat).await;
            let step = delivery.ended(gate, &reply.outcome);
            self.shared.metrics.attempt(outcome_name(&reply.outcome));
            let cost = retry_cost(delivery, &reply.load);
            if let NextStep::Retry { is_paid } = step {
                if is_paid && !self.take_retry(req, gate, &reply.outcome, cost) {
                    keep_answer(&mut last_answer, reply, body);
                    return ending(req, delivery.fail(), last_answer);
                }
                keep_answer(&mut last_answer, reply, body);
                continue;
            }
            keep_answer(&mut last_answer, reply, body);
            return ending(req, step, last_answer);
        }
    }

    /// Takes a repeat from the budget. Returns whether there was one.
    fn take_retry(
        &self,
        req: &OwnedRequest,
        gate: NodeId,
        outcome: &AttemptOutcome,
        cost: f64,
    ) -> bool {
        let RetryGrant { is_granted, spent, allowed } = self.shared.take_retry(&req.service, cost);
        self.shared.metrics.repeat(&req.service, is_granted);
        if let Some(omitted) = self.shared.request_log.admit(self.shared.clock.now()) {
            log_event!(
                LogEvent::AttemptRepeated,
                "request={} service={} gate={gate} outcome={} cost={cost:.2} spent={spent:.1} \
                 allowed={allowed:.1} granted={is_granted} omitted={omitted}",
                req.id,
                req.service,
                outcome_name(outcome)
            );
        }
        is_granted
    }

    /// Chooses the gate of the next attempt.
    fn choose(&self, req: &OwnedRequest, delivery: &Delivery) -> Result<NodeId, NextStep> {
        if let Some(gates) = delivery.confined_to() {
            let open = gates.iter().find(|it| !delivery.avoided().contains(it));
            return open.copied().ok_or_else(|| delivery.fail());
        }
        let route = RouteRequest {
            service: &req.service,
            importance: req.lineage.importance,
            chain: req.lineage.chain,
            depth: req.lineage.depth,
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
        if req.lineage.is_call() {
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
        let head = req.head(&self.shared, id, now, repeat);
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
                self.log_lost(&id, gate, "another incarnation");
                Err(SendFailure::Untouched)
            }
            Ok(_) => {
                self.log_lost(&id, gate, "unexpected reply");
                Err(SendFailure::Lost)
            }
            Err(err) => {
                self.log_lost(&id, gate, &err.reason);
                Err(err.failure)
            }
        }
    }

    fn log_lost(&self, id: &str, gate: NodeId, reason: &str) {
        if let Some(omitted) = self.shared.request_log.admit(self.shared.clock.now()) {
            log_event!(
                LogEvent::AttemptLost,
                "request={id} gate={gate} reason={reason:?} omitted={omitted}"
            );
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
}

/// Keeps the answer of a target, in case no later attempt brings a better one.
fn keep_answer(last: &mut Option<TargetAnswer>, reply: AttemptReply, body: Bytes) {
    let (status, failed_beneath) = match reply.outcome {
        AttemptOutcome::Answered(status) => (status, false),
        AttemptOutcome::FailedBeneath(status) => (status, true),
        _ => return,
    };
    let AttemptReply { headers, load, .. } = reply;
    *last = Some(TargetAnswer { status, failed_beneath, load, headers, body });
}

/// What the caller gets if `step` is the last one. What a target answered is passed on, unless the
/// caller would take it for a promise that the request did not run.
fn ending(req: &OwnedRequest, step: NextStep, last_answer: Option<TargetAnswer>) -> Ending {
    let is_usable = |it: &TargetAnswer| req.route.idempotent || !says_not_run(it.status);
    match (last_answer.filter(is_usable), step) {
        (Some(answer), _) => Ending::Answer(answer),
        (None, NextStep::Fail(kind, retry_after)) => Ending::Error(kind, retry_after),
        (None, NextStep::Deliver | NextStep::Retry { .. }) => {
            Ending::Error(ErrorKind::OutcomeUnknown, None)
        }
    }
}

fn failed_reply(outcome: AttemptOutcome) -> AttemptReply {
    AttemptReply { outcome, headers: Vec::new(), load: GateLoad::default(), routes: 0 }
}

/// What a retry draws from the budget: itself, and the calls that a target makes again if the
/// request has run before.
fn retry_cost(delivery: &Delivery, load: &GateLoad) -> f64 {
    let beneath = if delivery.maybe_ran() { f64::from(load.calls_percent) / 100.0 } else { 0.0 };
    1.0 + beneath
}

/// Whether an error says that a service is overloaded.
fn is_overload(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::QueueFull
            | ErrorKind::DeadlineTooShort
            | ErrorKind::DeadlinePassed
    )
}

/// Name of an outcome in logs and metrics.
pub(super) fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered(500..) => "target-error",
        AttemptOutcome::Answered(_) => "answered",
        AttemptOutcome::FailedBeneath(_) => "failed-beneath",
        AttemptOutcome::RejectedByTarget => "rejected-by-target",
        AttemptOutcome::RefusedByGate { error, .. } => error.as_str(),
        AttemptOutcome::NotSent => "not-sent",
        AttemptOutcome::Unknown => "unknown",
    }
}

use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{AttemptOutcome, AttemptReply, Delivery, NextStep, RetryDecision};
use pollenlever_core::message::GateLoad;
use pollenlever_core::routing::RouteRequest;

use super::caller_request::CallerRequest;
use super::edge_answer::{EdgeResponse, error_answer, target_answer};
use super::gate_calls::EndedCall;
use super::log_event::{LogEvent, log_event};
use super::mesh_shared::MeshShared;
use super::pending_request::PendingRequest;
use super::request_result::{RequestResult, final_result, record_answer};
use super::routed_request::RoutedRequest;
use super::stop_phase::StopPhase;

/// Timeout for sealing an attempt at the deadline, for which the caller waits.
const DEADLINE_SEAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Dispatches a request on the node that took it from its caller: sends attempts to gates, retries
/// and answers.
pub(super) struct RequestDispatcher {
    pub(super) shared: Arc<MeshShared>,
}

impl RequestDispatcher {
    pub(super) fn new(shared: Arc<MeshShared>) -> RequestDispatcher {
        RequestDispatcher { shared }
    }

    /// Answers a request of `caller`. Dropping the future, as
    /// happens when the caller hangs up, cancels the work.
    pub(super) async fn answer(
        &self,
        req: Request<Incoming>,
        caller: &CallerRequest,
    ) -> EdgeResponse {
        let _open = self.shared.in_flight_work.start();
        let _running = caller.slot.start_request();
        match RoutedRequest::read(&self.shared, req, &caller.slot).await {
            Ok(req) => {
                if !req.route.is_idempotent && !caller.position.wait_for_earlier_answers().await {
                    return error_answer(ErrorKind::Leaving, None);
                }
                self.deliver(req, caller).await
            }
            Err(kind) => error_answer(kind, None),
        }
    }

    async fn deliver(&self, req: RoutedRequest, caller: &CallerRequest) -> EdgeResponse {
        let left = req.deadline.saturating_sub(self.shared.clock.now());
        let mut delivery =
            Delivery::new(req.route.is_idempotent, req.route.max_attempts, req.is_urgent());
        let pending = PendingRequest::new(&self.shared, &req);
        let _call = req.lineage.is_call().then(|| self.shared.gate.open_call(&req.id));
        let result = tokio::select! {
            biased;
            result = tokio::time::timeout(left, self.run(&req, &mut delivery)) => match result {
                Ok(result) => result,
                Err(_) => self.result_at_deadline(&req, &delivery).await,
            },
            () = self.shared.wait_for_stop_phase(StopPhase::Abandoning) => {
                RequestResult::Error(ErrorKind::OutcomeUnknown, None)
            }
        };
        match result {
            RequestResult::Answer(answer) => {
                let downstream_calls = f64::from(answer.load.calls_per_100_runs) / 100.0;
                self.record_call(&req, downstream_calls, answer.failed_downstream);
                pending.record_answer(answer.status, &delivery);
                let body = caller.slot.hold_body(answer.body);
                target_answer(answer.status, &answer.headers, body)
            }
            RequestResult::Error(kind, retry_after) => {
                self.record_call(&req, 0.0, is_overload(kind));
                pending.record_error(kind, &delivery);
                error_answer(kind, retry_after)
            }
        }
    }

    /// Refuses a request that has come too late to end before this node does, and a new chain for which
    /// the services have no room, before it costs anything. Otherwise takes a
    /// token if the request uses a quota, and runs the request. The token is given back if the
    /// request has not run. A request without a token adds nothing to the retry budget.
    async fn run(&self, req: &RoutedRequest, delivery: &mut Delivery) -> RequestResult {
        if self.shared.is_stopped() {
            return RequestResult::Error(ErrorKind::Leaving, None);
        }
        if let Some(retry_after) = self.shared.downstream.chain_refusal(&req.service, req.lineage) {
            return RequestResult::Error(ErrorKind::Overloaded, Some(retry_after));
        }
        let mut token = None;
        if let Some(workspace) = &req.quota_workspace {
            match self.shared.quota.take_token(workspace, &req.id).await {
                Ok(it) => token = Some(it),
                Err(it) => return RequestResult::Error(it.error, Some(it.retry_after)),
            }
        }
        self.shared.downstream.record_request(&req.service, req.lineage);
        token.iter_mut().for_each(|it| it.set_may_have_run(true));
        let result = self.run_attempts(req, delivery).await;
        token.iter_mut().for_each(|it| it.set_may_have_run(!result.is_not_run()));
        result
    }

    /// Sends attempts until one yields the answer or no further one is allowed.
    async fn run_attempts(&self, req: &RoutedRequest, delivery: &mut Delivery) -> RequestResult {
        let mut last_answer = None;
        loop {
            let gate = match self.choose_gate(req, delivery) {
                Ok(gate) => gate,
                Err(step) => return final_result(req, step, last_answer),
            };
            let repeat = if delivery.may_have_run() { 1.0 } else { req.lineage.repeat };
            let (reply, body) = self.send_attempt(req, delivery, gate, repeat).await;
            let step = delivery.record_outcome(gate, &reply.outcome);
            self.record_attempt(req, &reply);
            let cost = retry_cost(delivery, &reply.load);
            if let NextStep::Retry { uses_budget } = step {
                if uses_budget && !self.take_retry(req, gate, &reply.outcome, cost) {
                    record_answer(&mut last_answer, reply, body);
                    return final_result(req, delivery.fail(), last_answer);
                }
                record_answer(&mut last_answer, reply, body);
                continue;
            }
            record_answer(&mut last_answer, reply, body);
            return final_result(req, step, last_answer);
        }
    }

    /// Result of a request whose deadline has passed. A caller that may not send the request again
    /// unless it has not run is told so if that can be proved.
    async fn result_at_deadline(&self, req: &RoutedRequest, delivery: &Delivery) -> RequestResult {
        let may_have_run = delivery.may_have_run()
            || req.route.is_idempotent
            || match delivery.in_flight() {
                Some(it) => !self.seal(req, it, DEADLINE_SEAL_TIMEOUT).await,
                None => false,
            };
        let kind =
            if may_have_run { ErrorKind::DeadlinePassed } else { ErrorKind::DeadlineTooShort };
        RequestResult::Error(kind, None)
    }

    fn record_attempt(&self, req: &RoutedRequest, reply: &AttemptReply) {
        self.shared.metrics.record_attempt(outcome_name(&reply.outcome));
        let needs_retry = match reply.outcome {
            AttemptOutcome::RejectedByTarget | AttemptOutcome::Unknown => true,
            AttemptOutcome::Answered(status) => status >= 500,
            AttemptOutcome::FailedDownstream(_) => false,
            AttemptOutcome::RefusedByGate { .. } | AttemptOutcome::NotSent => return,
        };
        self.shared.downstream.record_attempt(&req.service, needs_retry);
    }

    /// Takes a retry from the retry budget. Returns whether it was granted.
    fn take_retry(
        &self,
        req: &RoutedRequest,
        gate: NodeId,
        outcome: &AttemptOutcome,
        cost: f64,
    ) -> bool {
        let RetryDecision { is_granted, spent, allowed } =
            self.shared.downstream.take_retry(&req.service, req.lineage, cost);
        self.shared.metrics.record_retry(&req.service, is_granted);
        if let Some(omitted) = self.shared.request_log.admit_line(self.shared.clock.now()) {
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
    fn choose_gate(&self, req: &RoutedRequest, delivery: &Delivery) -> Result<NodeId, NextStep> {
        if let Some(gates) = delivery.allowed_gates() {
            let remaining = gates.iter().find(|it| !delivery.excluded_gates().contains(it));
            return remaining.copied().ok_or_else(|| delivery.fail());
        }
        let route = RouteRequest {
            service: &req.service,
            importance: req.lineage.importance,
            chain: req.lineage.chain,
            depth: req.lineage.depth,
            bytes: req.body.len() as u64,
            tried: delivery.excluded_gates(),
        };
        self.shared.choose_gate(&route).map_err(|none| {
            if delivery.excluded_gates().is_empty() {
                NextStep::Fail(none.error, Some(none.retry_after))
            } else {
                delivery.fail()
            }
        })
    }

    /// Reports to this node's gate how a call made by its target ended.
    fn record_call(&self, req: &RoutedRequest, downstream_calls: f64, is_overload_failure: bool) {
        if req.lineage.is_call() {
            self.shared.gate.record_call(&EndedCall {
                id: &req.id,
                service: &req.service,
                downstream_calls,
                is_overload_failure,
            });
        }
    }
}

/// Cost of a retry in the retry budget: 1 for the request itself, plus the calls that the target
/// makes again if the request may have run already.
fn retry_cost(delivery: &Delivery, load: &GateLoad) -> f64 {
    let downstream_calls =
        if delivery.may_have_run() { f64::from(load.calls_per_100_runs) / 100.0 } else { 0.0 };
    1.0 + downstream_calls
}

/// Whether an error means that a service is overloaded.
fn is_overload(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::DownstreamOverloaded
            | ErrorKind::QueueFull
            | ErrorKind::RateLimited
            | ErrorKind::DeadlineTooShort
            | ErrorKind::DeadlinePassed
    )
}

/// Name of an outcome in logs and metrics.
pub(super) fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered(500..) => "target-error",
        AttemptOutcome::Answered(_) => "answered",
        AttemptOutcome::FailedDownstream(_) => "failed-beneath",
        AttemptOutcome::RejectedByTarget => "rejected-by-target",
        AttemptOutcome::RefusedByGate { error, .. } => error.as_str(),
        AttemptOutcome::NotSent => "not-sent",
        AttemptOutcome::Unknown => "unknown",
    }
}

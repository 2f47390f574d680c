use bytes::Bytes;

use super::context::Context;
use super::delivery::{DeliveryId, DeliveryStage, LastError, Owner};
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::timers::Timer;
use crate::answer::{Answer, ErrorKind, Outcome};
use crate::id::AttemptId;
use crate::message::{GateLoad, PeerReply, PeerRequest, Suspicion};
use crate::policy::SendFailure;
use crate::routing::RouteRequest;

/// Deliveries: attempts, their replies, and retries.
impl Node {
    /// Sends the next attempt of a delivery, or ends it if none can be sent.
    pub(super) fn try_attempt(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if cx.now >= delivery.req.deadline {
            return self.end_with_error(cx, id, ErrorKind::DeadlineTooShort, None);
        }
        if self.has_reached_crash_limit(delivery.req.digest, delivery.req.max_crashes) {
            return self.end_with_error(cx, id, ErrorKind::Suspect, None);
        }
        let req = RouteRequest {
            service: &delivery.req.service,
            importance: delivery.req.importance,
            chain: delivery.req.chain,
            depth: delivery.req.depth,
            bytes: delivery.req.body.len() as u64,
            tried: &delivery.tried,
        };
        match self.routing.choose(cx.now, &req) {
            Ok(to) => self.send_attempt(cx, id, to),
            Err(it) => self.end_with_error(cx, id, it.error, Some(it.retry_after)),
        }
    }

    fn send_attempt(&mut self, cx: &mut Context<'_>, id: DeliveryId, to: crate::id::NodeId) {
        let attempt = AttemptId { sender: self.me, seq: self.allocate_id() };
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let is_retry = delivery.attempt.is_some();
        delivery.attempt = Some((attempt, to));
        delivery.sent = cx.now;
        delivery.tried.push(to);
        let crashes = self.suspicion.crashes(delivery.req.digest);
        let head = delivery.req.attempt_head(cx.now, attempt, is_retry, crashes);
        let body = delivery.req.body.clone();
        let service = delivery.req.service.clone();
        let overdue = delivery.req.deadline + self.cfg.reply_grace;
        if !is_retry {
            self.record_first_attempt(cx.now, &service);
        }
        self.routing.record_sent(cx.now, to, body.len() as u64);
        let exchange =
            self.send(cx, ExchangePurpose::Attempt(id), to, PeerRequest::Attempt(head), body);
        self.set_stage(id, DeliveryStage::Attempting(exchange));
        self.timers.set(overdue, Timer::ReplyOverdue(id));
    }

    pub(super) fn set_stage(&mut self, id: DeliveryId, stage: DeliveryStage) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            delivery.stage = stage;
        }
    }

    pub(super) fn on_attempt_reply(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Attempt(answer, load) => {
                self.record_reply(cx, id, &load, body.len() as u64);
                self.on_answer(cx, id, answer, body);
            }
            PeerReply::Refused(err) => {
                self.record_failure(cx, id);
                self.on_refused(cx, id, err);
            }
            _ => self.on_attempt_failed(cx, id, SendFailure::Lost),
        }
    }

    fn record_reply(&mut self, cx: &mut Context<'_>, id: DeliveryId, load: &GateLoad, bytes: u64) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let Some((_, node)) = delivery.attempt else { return };
        let latency = cx.now.saturating_sub(delivery.sent);
        let report = Suspicion { digest: delivery.req.digest, crashes: load.crashes };
        self.routing.record_reply(cx.now, node, latency, load, bytes);
        self.suspicion.record_at_least(cx.now, report);
    }

    fn record_failure(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        let node = self.deliveries.get(&id).and_then(|it| it.attempt);
        if let Some((_, node)) = node {
            self.routing.record_failure(cx.now, node);
        }
    }

    /// Handles the answer to an attempt, from its reply or from the reply to a seal request.
    pub(super) fn on_answer(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        answer: Answer,
        body: Bytes,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Some(kind) = answer.error else {
            let digest = delivery.req.digest;
            self.suspicion.remove(digest);
            return self.end_delivery(cx, id, answer, body);
        };
        if answer.outcome == Outcome::NotRun {
            return self.retry_or_end(cx, id, kind, answer.retry_after);
        }
        if !delivery.is_at_most_once() {
            delivery.may_have_run = true;
            return self.retry_or_end(cx, id, kind, answer.retry_after);
        }
        if kind == ErrorKind::OutcomeUnknown {
            return self.request_seal(cx, id);
        }
        self.end_delivery(cx, id, answer, body);
    }

    /// Handles a refusal by a peer that did not process the attempt.
    fn on_refused(&mut self, cx: &mut Context<'_>, id: DeliveryId, err: ErrorKind) {
        let is_at_most_once = self.deliveries.get(&id).is_some_and(|it| it.is_at_most_once());
        if is_at_most_once && err != ErrorKind::WrongIncarnation {
            return self.request_seal(cx, id);
        }
        self.retry_or_end(cx, id, err, None);
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        failure: SendFailure,
    ) {
        self.record_failure(cx, id);
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        match failure {
            SendFailure::NotSent => {
                self.retry_or_end(cx, id, ErrorKind::TargetUnreachable, None);
            }
            SendFailure::Lost if delivery.is_at_most_once() => self.request_seal(cx, id),
            SendFailure::Lost => {
                delivery.may_have_run = true;
                self.retry_or_end(cx, id, ErrorKind::OutcomeUnknown, None);
            }
        }
    }

    /// Requests a retry after a failed attempt if the error, deadline and retry budget allow one.
    pub(super) fn retry_or_end(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        kind: ErrorKind,
        retry_after: Option<std::time::Duration>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.last_error = LastError { kind, retry_after };
        delivery.stage = DeliveryStage::Routing;
        let chain = delivery.req.chain;
        let service = delivery.req.service.clone();
        let in_time = cx.now < delivery.req.deadline;
        if in_time && is_retryable(kind) && self.take_service_retry(cx.now, &service) {
            self.request_grant(cx, chain, ExchangePurpose::RetryGrant(id));
        } else {
            self.end_with_error(cx, id, kind, retry_after);
        }
    }

    pub(super) fn on_retry_grant(&mut self, cx: &mut Context<'_>, id: DeliveryId, granted: bool) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let last_error = delivery.last_error;
        if granted {
            self.try_attempt(cx, id);
        } else {
            self.end_with_error(cx, id, last_error.kind, last_error.retry_after);
        }
    }

    pub(super) fn end_with_error(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        kind: ErrorKind,
        retry_after: Option<std::time::Duration>,
    ) {
        self.end_delivery(cx, id, Answer::from_error(kind, retry_after), Bytes::new());
    }

    /// Ends a delivery and passes the answer to its owner.
    fn end_delivery(&mut self, cx: &mut Context<'_>, id: DeliveryId, answer: Answer, body: Bytes) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        let overdue = delivery.req.deadline + self.cfg.reply_grace;
        self.timers.clear(overdue, Timer::ReplyOverdue(id));
        let answer = if delivery.may_have_run { answer.with_unknown_outcome() } else { answer };
        match delivery.owner {
            Owner::Call(call) => self.answer_call(cx, call, answer, body),
            Owner::Record(key) => self.end_record(cx, key, answer, body),
        }
    }

    /// Cancels the delivery of an idempotent request.
    pub(super) fn cancel_delivery(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        let overdue = delivery.req.deadline + self.cfg.reply_grace;
        self.timers.clear(overdue, Timer::ReplyOverdue(id));
        match delivery.stage {
            DeliveryStage::Attempting(exchange) => {
                if let Some((_, node)) = delivery.attempt {
                    self.routing.record_cancelled(cx.now, node);
                }
                self.cancel_exchange(cx, exchange);
            }
            DeliveryStage::AwaitingGrant(exchange) | DeliveryStage::AwaitingSeal(exchange) => {
                self.cancel_exchange(cx, exchange);
            }
            DeliveryStage::Routing | DeliveryStage::SealBackoff => {}
        }
    }

    pub(super) fn on_reply_overdue(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let DeliveryStage::Attempting(exchange) = delivery.stage else { return };
        self.record_failure(cx, id);
        self.cancel_exchange(cx, exchange);
        self.request_seal(cx, id);
    }
}

/// Whether another attempt may succeed after this error.
fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Leaving
            | ErrorKind::Overloaded
            | ErrorKind::QueueFull
            | ErrorKind::TargetUnreachable
            | ErrorKind::WrongIncarnation
            | ErrorKind::TargetCrashed
            | ErrorKind::AnswerCut
            | ErrorKind::OutcomeUnknown
            | ErrorKind::Internal
    )
}

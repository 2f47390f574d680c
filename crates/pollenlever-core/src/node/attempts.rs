use bytes::Bytes;

use super::cx::Cx;
use super::delivery::{DeliveryId, DeliveryStage, LastError, Owner};
use super::exchange::Exchange;
use super::node::Node;
use super::timers::Timer;
use crate::answer::{Answer, ErrorKind, Outcome};
use crate::id::AttemptId;
use crate::message::{GateLoad, PeerReply, PeerRequest, Suspicion};
use crate::policy::SendFailure;
use crate::routing::RouteRequest;

/// Deliveries: attempts, their replies and retries.
impl Node {
    /// Sends the next attempt of a delivery, or ends it if none can be sent.
    pub(super) fn try_attempt(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if cx.now >= delivery.req.deadline {
            return self.end_with_error(cx, id, ErrorKind::DeadlineTooShort, None);
        }
        if self.is_refused(delivery.req.digest, delivery.req.max_crashes) {
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

    fn send_attempt(&mut self, cx: &mut Cx<'_>, id: DeliveryId, to: crate::id::NodeId) {
        let attempt = AttemptId { sender: self.me, seq: self.draw_id() };
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
            self.count_first_attempt(cx.now, &service);
        }
        self.routing.sent(cx.now, to, body.len() as u64);
        let exchange = self.send(cx, Exchange::Attempt(id), to, PeerRequest::Attempt(head), body);
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
        cx: &mut Cx<'_>,
        id: DeliveryId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Attempt(answer, load) => {
                self.note_reply(cx, id, &load, body.len() as u64);
                self.on_answer(cx, id, answer, body);
            }
            PeerReply::Refused(err) => {
                self.note_failure(cx, id);
                self.on_refused(cx, id, err);
            }
            _ => self.on_attempt_failed(cx, id, SendFailure::Lost),
        }
    }

    fn note_reply(&mut self, cx: &mut Cx<'_>, id: DeliveryId, load: &GateLoad, bytes: u64) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let Some((_, node)) = delivery.attempt else { return };
        let latency = cx.now.saturating_sub(delivery.sent);
        let news = Suspicion { digest: delivery.req.digest, crashes: load.crashes };
        self.routing.replied(cx.now, node, latency, load, bytes);
        self.suspicion.raise(cx.now, news);
    }

    fn note_failure(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        let node = self.deliveries.get(&id).and_then(|it| it.attempt);
        if let Some((_, node)) = node {
            self.routing.failed(cx.now, node);
        }
    }

    /// Takes what a gate answers to an attempt, at once or when asked again.
    pub(super) fn on_answer(
        &mut self,
        cx: &mut Cx<'_>,
        id: DeliveryId,
        answer: Answer,
        body: Bytes,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        let Some(kind) = answer.error else {
            let digest = delivery.req.digest;
            self.suspicion.clear(digest);
            return self.end_delivery(cx, id, answer, body);
        };
        if answer.outcome == Outcome::NotRun {
            return self.retry_or_end(cx, id, kind, answer.retry_after);
        }
        if !delivery.is_once() {
            delivery.maybe_ran = true;
            return self.retry_or_end(cx, id, kind, answer.retry_after);
        }
        if kind == ErrorKind::OutcomeUnknown {
            return self.ask_seal(cx, id);
        }
        self.end_delivery(cx, id, answer, body);
    }

    /// The peer did not look at the attempt.
    fn on_refused(&mut self, cx: &mut Cx<'_>, id: DeliveryId, err: ErrorKind) {
        let is_once = self.deliveries.get(&id).is_some_and(|it| it.is_once());
        if is_once && err != ErrorKind::WrongIncarnation {
            return self.ask_seal(cx, id);
        }
        self.retry_or_end(cx, id, err, None);
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        cx: &mut Cx<'_>,
        id: DeliveryId,
        failure: SendFailure,
    ) {
        self.note_failure(cx, id);
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        match failure {
            SendFailure::Untouched => {
                self.retry_or_end(cx, id, ErrorKind::TargetUnreachable, None);
            }
            SendFailure::Lost if delivery.is_once() => self.ask_seal(cx, id),
            SendFailure::Lost => {
                delivery.maybe_ran = true;
                self.retry_or_end(cx, id, ErrorKind::OutcomeUnknown, None);
            }
        }
    }

    /// Asks for a retry after an attempt that gave no answer, if the error allows one.
    pub(super) fn retry_or_end(
        &mut self,
        cx: &mut Cx<'_>,
        id: DeliveryId,
        kind: ErrorKind,
        retry_after: Option<std::time::Duration>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.last = LastError { kind, retry_after };
        delivery.stage = DeliveryStage::Routing;
        let chain = delivery.req.chain;
        let service = delivery.req.service.clone();
        let in_time = cx.now < delivery.req.deadline;
        if in_time && is_retryable(kind) && self.take_service_retry(cx.now, &service) {
            self.ask_grant(cx, chain, Exchange::RetryGrant(id));
        } else {
            self.end_with_error(cx, id, kind, retry_after);
        }
    }

    pub(super) fn on_retry_grant(&mut self, cx: &mut Cx<'_>, id: DeliveryId, granted: bool) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let last = delivery.last;
        if granted {
            self.try_attempt(cx, id);
        } else {
            self.end_with_error(cx, id, last.kind, last.retry_after);
        }
    }

    pub(super) fn end_with_error(
        &mut self,
        cx: &mut Cx<'_>,
        id: DeliveryId,
        kind: ErrorKind,
        retry_after: Option<std::time::Duration>,
    ) {
        self.end_delivery(cx, id, Answer::from_error(kind, retry_after), Bytes::new());
    }

    /// Ends a delivery for good and tells its owner.
    fn end_delivery(&mut self, cx: &mut Cx<'_>, id: DeliveryId, answer: Answer, body: Bytes) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        let overdue = delivery.req.deadline + self.cfg.reply_grace;
        self.timers.clear(overdue, Timer::ReplyOverdue(id));
        let answer = if delivery.maybe_ran { answer.unsure() } else { answer };
        match delivery.owner {
            Owner::Call(call) => self.answer_call(cx, call, answer, body),
            Owner::Record(key) => self.end_record(cx, key, answer, body),
        }
    }

    /// Cancels the delivery of an idempotent request.
    pub(super) fn cancel_delivery(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.remove(&id) else { return };
        let overdue = delivery.req.deadline + self.cfg.reply_grace;
        self.timers.clear(overdue, Timer::ReplyOverdue(id));
        match delivery.stage {
            DeliveryStage::Attempting(exchange) => {
                if let Some((_, node)) = delivery.attempt {
                    self.routing.cancelled(cx.now, node);
                }
                self.cancel_exchange(cx, exchange);
            }
            DeliveryStage::Granting(exchange) | DeliveryStage::AskingSeal(exchange) => {
                self.cancel_exchange(cx, exchange);
            }
            DeliveryStage::Routing | DeliveryStage::SealPause => {}
        }
    }

    pub(super) fn on_reply_overdue(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        let DeliveryStage::Attempting(exchange) = delivery.stage else { return };
        self.note_failure(cx, id);
        self.cancel_exchange(cx, exchange);
        self.ask_seal(cx, id);
    }
}

/// Whether another target may do better.
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

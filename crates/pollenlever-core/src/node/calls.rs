use std::time::Duration;

use bytes::Bytes;

use super::cx::Cx;
use super::delivery::{Delivery, Owner};
use super::exchange::Exchange;
use super::lineage::Lineage;
use super::node::Node;
use super::open_call::{CallStage, OpenCall};
use super::request::{Request, call_digest};
use super::timers::Timer;
use crate::Timestamp;
use crate::answer::{Answer, ComeBack, ErrorKind, Outcome};
use crate::config::RequestKind;
use crate::id::{AttemptId, CallId, ChainId, CustomerId, KindName, RequestKey, ServiceName};
use crate::once::{KeyMint, Waiter};
use crate::policy::{Action, Call, Observation};

/// Entry: calls of this node's callers.
impl Node {
    pub(super) fn on_call(&mut self, cx: &mut Cx<'_>, id: CallId, call: Call) {
        let chain = call.chain;
        let maybe_ran = call.key.is_some() || chain.is_some();
        let kind = self.kind_of(&call).map(|it| it.name);
        let (service, customer) = (call.service.clone(), call.customer.clone());
        let (call, needs_grant) = match self.open_call(cx.now, call) {
            Ok(opened) => opened,
            Err(err) => {
                if let Ok(kind) = kind {
                    cx.push(Action::Observe(refusal(service, kind, customer, err)));
                }
                return self.refuse_call(cx, id, chain, err, maybe_ran);
            }
        };
        let chain = call.req.chain;
        self.timers.set(call.req.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent.and_then(|it| self.parent_mut(it)) {
            parent.open_calls.insert(id);
        }
        self.calls.insert(id, call);
        if needs_grant {
            self.ask_grant(cx, chain, Exchange::ResendGrant(id));
        } else {
            self.proceed(cx, id);
        }
    }

    /// Places a call in its chain. Also returns whether it is a resend that needs a grant.
    fn open_call(&mut self, now: Timestamp, call: Call) -> Result<(OpenCall, bool), ErrorKind> {
        let kind = self.kind_of(&call)?;
        let call = self.with_customer_of_parent(call)?;
        let digest = call_digest(&call);
        let lineage = self.lineage(now, &call, &kind, digest)?;
        let key = Self::key_of(&call, &kind, &lineage, digest)?;
        if key.is_none() && self.is_refused(digest, kind.max_crashes) {
            return Err(ErrorKind::Suspect);
        }
        let needs_grant = lineage.is_resend && key.is_none();
        let maybe_ran = lineage.is_resend;
        let req = Request {
            chain: lineage.chain,
            key,
            service: call.service,
            kind: kind.name,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            customer: call.customer,
            importance: lineage.importance,
            depth: lineage.depth,
            deadline: lineage.deadline,
            digest,
            max_crashes: kind.max_crashes,
        };
        let stage = CallStage::AtHome;
        let parent = call.parent;
        let call =
            OpenCall { req, arrived: now, parent, maybe_ran, stage, successors: None, rounds: 0 };
        Ok((call, needs_grant))
    }

    fn kind_of(&self, call: &Call) -> Result<RequestKind, ErrorKind> {
        if self.services.is_empty() {
            return Err(ErrorKind::NoConfiguration);
        }
        let cfg = self.services.get(&call.service).ok_or(ErrorKind::UnknownService)?;
        cfg.kind_of(&call.method, &call.path).cloned()
    }

    fn with_customer_of_parent(&mut self, call: Call) -> Result<Call, ErrorKind> {
        let Some(id) = call.parent else { return Ok(call) };
        let parent = self.parent_mut(id).ok_or(ErrorKind::ParentEnded)?;
        Ok(Call { customer: parent.head.customer.clone(), ..call })
    }

    fn key_of(
        call: &Call,
        kind: &RequestKind,
        lineage: &Lineage,
        digest: u64,
    ) -> Result<Option<RequestKey>, ErrorKind> {
        match call.key {
            Some(key) => Ok(Some(key)),
            None if kind.idempotent => Ok(None),
            None if kind.derive_key && call.parent.is_some() => {
                Ok(Some(KeyMint::derive(lineage.chain, digest)))
            }
            None => Err(ErrorKind::KeyRequired),
        }
    }

    /// Takes a call on to its home or to a target.
    pub(super) fn proceed(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let req = call.req.clone();
        match req.key {
            Some(key) if self.home_mut(key.home).is_some() => {
                self.decide(cx, Waiter::Call(id), key, req);
            }
            Some(key) if key.home == self.me => self.home_gone(cx, id),
            Some(key) => self.forward(cx, id, key, key.home, &req),
            None => {
                let delivery = self.draw_id();
                self.set_call_stage(id, CallStage::Delivering(delivery));
                self.deliveries.insert(delivery, Delivery::new(Owner::Call(id), req));
                self.try_attempt(cx, delivery);
            }
        }
    }

    pub(super) fn set_call_stage(&mut self, id: CallId, stage: CallStage) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.stage = stage;
        }
    }

    pub(super) fn on_resend_grant(&mut self, cx: &mut Cx<'_>, id: CallId, granted: bool) {
        if granted {
            return self.proceed(cx, id);
        }
        let answer = Answer::from_error(ErrorKind::RetryRefused, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    pub(super) fn on_call_cancelled(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let answer = Answer::from_error(ErrorKind::Cancelled, None);
        self.release_call(cx, id);
        if let Some(call) = self.end_call(cx.now, id, &answer) {
            cx.push(Action::Observe(observation(cx.now, &call, &answer)));
        }
    }

    pub(super) fn on_call_deadline(&mut self, cx: &mut Cx<'_>, id: CallId) {
        self.release_call(cx, id);
        let answer = Answer::from_error(ErrorKind::DeadlinePassed, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    /// Gives up on the work beneath a call. A keyed request goes on at its home.
    fn release_call(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.stage {
            CallStage::Granting(exchange) | CallStage::Forwarded(exchange) => {
                self.cancel_exchange(cx, exchange);
            }
            CallStage::Delivering(delivery) => self.cancel_delivery(cx, delivery),
            CallStage::Pausing => {}
            CallStage::AtHome => {
                if let Some(key) = call.req.key {
                    self.remove_waiter(key, Waiter::Call(id));
                }
            }
        }
    }

    /// Answers a call and forgets it.
    pub(super) fn answer_call(&mut self, cx: &mut Cx<'_>, id: CallId, answer: Answer, body: Bytes) {
        let answer = self.with_retry_after(answer);
        let Some(call) = self.end_call(cx.now, id, &answer) else { return };
        let answer =
            if call.maybe_ran && call.req.key.is_none() { answer.unsure() } else { answer };
        cx.push(Action::Observe(observation(cx.now, &call, &answer)));
        cx.push(Action::Answer { call: id, chain: Some(call.req.chain), answer, body });
    }

    /// Refuses a call before it has a place in a chain. `maybe_ran` says that it is a resend.
    fn refuse_call(
        &mut self,
        cx: &mut Cx<'_>,
        call: CallId,
        chain: Option<ChainId>,
        err: ErrorKind,
        maybe_ran: bool,
    ) {
        let answer = self.with_retry_after(Answer::from_error(err, None));
        let answer = if maybe_ran { answer.unsure() } else { answer };
        cx.push(Action::Answer { call, chain, answer, body: Bytes::new() });
    }

    fn end_call(&mut self, now: Timestamp, id: CallId, answer: &Answer) -> Option<OpenCall> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(call.req.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent.and_then(|it| self.parent_mut(it)) {
            parent.open_calls.remove(&id);
        } else if answer.error.is_none() {
            self.failures.answered(call.req.digest);
        } else if call.req.key.is_none() && answer.error.is_some_and(counts_as_failure) {
            self.failures.insert(now, call.req.digest, call.req.chain);
        }
        Some(call)
    }

    /// The attempt that the target runs under this id.
    pub(super) fn parent_mut(
        &mut self,
        id: AttemptId,
    ) -> Option<&mut super::gate_attempt::GateAttempt> {
        let stream = self.attempts.get(&id)?;
        self.streams.get_mut(stream)
    }

    pub(super) fn on_take_keys(&mut self, cx: &mut Cx<'_>, call: CallId, count: u32) {
        if self.leaving {
            return self.refuse_call(cx, call, None, ErrorKind::Leaving, false);
        }
        let count = count.min(self.cfg.max_keys);
        let keys = (0..count).map(|_| self.own.mint.mint(cx.now)).collect();
        cx.push(Action::Keys(call, keys));
    }

    /// Fills in when to come back where the answer has to say so.
    fn with_retry_after(&mut self, mut answer: Answer) -> Answer {
        let wanted =
            answer.error.is_some_and(|it| it.response().come_back == ComeBack::AfterBacklog);
        if wanted && answer.retry_after.is_none() {
            answer.retry_after = Some(self.spread_retry_after());
        }
        answer
    }
}

/// Whether an equal call after this error is taken for a resend.
fn counts_as_failure(err: ErrorKind) -> bool {
    !matches!(err, ErrorKind::RetryRefused | ErrorKind::CustomerLimit | ErrorKind::Suspect)
}

fn observation(now: Timestamp, call: &OpenCall, answer: &Answer) -> Observation {
    let in_time = now <= call.req.deadline;
    Observation {
        service: call.req.service.clone(),
        kind: call.req.kind.clone(),
        customer: call.req.customer.clone(),
        status: answer.status,
        error: answer.error,
        latency: now.saturating_sub(call.arrived),
        good: answer.outcome == Outcome::Ran && answer.status < 500 && in_time,
    }
}

/// Counts a call that was refused before it had a place in a chain.
fn refusal(
    service: ServiceName,
    kind: KindName,
    customer: CustomerId,
    err: ErrorKind,
) -> Observation {
    let (status, error) = (err.response().status, Some(err));
    Observation { service, kind, customer, status, error, latency: Duration::ZERO, good: false }
}

use std::time::Duration;

use bytes::Bytes;

use super::chain_position::ChainPosition;
use super::context::Context;
use super::delivery::{Delivery, Owner};
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::open_call::{CallStage, OpenCall};
use super::request::{Request, call_digest};
use super::timers::Timer;
use crate::Timestamp;
use crate::answer::{Answer, ErrorKind, Outcome, RetryAdvice};
use crate::config::RequestKind;
use crate::id::{AttemptId, CallId, ChainId, KindName, RequestKey, ServiceName, WorkspaceName};
use crate::once::{KeyMint, Waiter};
use crate::policy::{Action, Call, Observation};

/// Entry: calls of the callers beside this node.
impl Node {
    pub(super) fn on_call(&mut self, cx: &mut Context<'_>, id: CallId, call: Call) {
        let chain = call.chain;
        let may_have_run = call.key.is_some() || chain.is_some();
        let kind = self.kind_of(&call).map(|it| it.name);
        let (service, workspace) = (call.service.clone(), call.workspace.clone());
        let (call, needs_grant) = match self.open_call(cx.now, call) {
            Ok(opened) => opened,
            Err(err) => {
                if let Ok(kind) = kind {
                    cx.push(Action::RecordCall(refusal_observation(service, kind, workspace, err)));
                }
                return self.refuse_call(cx, id, chain, err, may_have_run);
            }
        };
        let chain = call.req.chain;
        self.timers.set(call.req.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent.and_then(|it| self.parent_mut(it)) {
            parent.open_calls.insert(id);
        }
        self.calls.insert(id, call);
        if needs_grant {
            self.request_grant(cx, chain, ExchangePurpose::ResendGrant(id));
        } else {
            self.continue_call(cx, id);
        }
    }

    /// Assigns a call to its chain. Also returns whether it is a resend that needs a grant.
    fn open_call(&mut self, now: Timestamp, call: Call) -> Result<(OpenCall, bool), ErrorKind> {
        let kind = self.kind_of(&call)?;
        let call = self.with_workspace_of_parent(call)?;
        let digest = call_digest(&call);
        let position = self.chain_position(now, &call, &kind, digest)?;
        let key = Self::request_key(&call, &kind, &position, digest)?;
        if key.is_none() && self.has_reached_crash_limit(digest, kind.max_crashes) {
            return Err(ErrorKind::Suspect);
        }
        let needs_grant = position.is_resend && key.is_none();
        let may_have_run = position.is_resend;
        let req = Request {
            chain: position.chain,
            key,
            service: call.service,
            kind: kind.name,
            method: call.method,
            path: call.path,
            headers: call.headers,
            body: call.body,
            workspace: call.workspace,
            importance: position.importance,
            depth: position.depth,
            deadline: position.deadline,
            digest,
            max_crashes: kind.max_crashes,
        };
        let stage = CallStage::AtHome;
        let parent = call.parent;
        let call = OpenCall {
            req,
            arrived: now,
            parent,
            may_have_run,
            stage,
            successors: None,
            handover_rounds: 0,
        };
        Ok((call, needs_grant))
    }

    fn kind_of(&self, call: &Call) -> Result<RequestKind, ErrorKind> {
        if self.services.is_empty() {
            return Err(ErrorKind::NoConfiguration);
        }
        let cfg = self.services.get(&call.service).ok_or(ErrorKind::UnknownService)?;
        cfg.kind_of(&call.method, &call.path).cloned()
    }

    fn with_workspace_of_parent(&mut self, call: Call) -> Result<Call, ErrorKind> {
        let Some(id) = call.parent else { return Ok(call) };
        let parent = self.parent_mut(id).ok_or(ErrorKind::ParentEnded)?;
        Ok(Call { workspace: parent.head.workspace.clone(), ..call })
    }

    fn request_key(
        call: &Call,
        kind: &RequestKind,
        position: &ChainPosition,
        digest: u64,
    ) -> Result<Option<RequestKey>, ErrorKind> {
        match call.key {
            Some(key) => Ok(Some(key)),
            None if kind.is_idempotent => Ok(None),
            None if kind.derive_key && call.parent.is_some() => {
                Ok(Some(KeyMint::derive(position.chain, digest)))
            }
            None => Err(ErrorKind::KeyRequired),
        }
    }

    /// Continues a call at its home or delivers it to a target.
    pub(super) fn continue_call(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        let req = call.req.clone();
        match req.key {
            Some(key) if self.home_mut(key.home).is_some() => {
                self.handle_keyed_request(cx, Waiter::Call(id), key, req);
            }
            Some(key) if key.home == self.me => self.on_home_gone(cx, id),
            Some(key) => self.forward(cx, id, key, key.home, &req),
            None => {
                let delivery = self.allocate_id();
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

    pub(super) fn on_resend_grant(&mut self, cx: &mut Context<'_>, id: CallId, granted: bool) {
        if granted {
            return self.continue_call(cx, id);
        }
        let answer = Answer::from_error(ErrorKind::RetryRefused, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    pub(super) fn on_call_cancelled(&mut self, cx: &mut Context<'_>, id: CallId) {
        let answer = Answer::from_error(ErrorKind::Cancelled, None);
        self.cancel_call_work(cx, id);
        if let Some(call) = self.end_call(cx.now, id, &answer) {
            cx.push(Action::RecordCall(observation(cx.now, &call, &answer)));
        }
    }

    pub(super) fn on_call_deadline(&mut self, cx: &mut Context<'_>, id: CallId) {
        self.cancel_call_work(cx, id);
        let answer = Answer::from_error(ErrorKind::DeadlinePassed, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    /// Cancels the pending work of a call. A keyed request continues at its home.
    fn cancel_call_work(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.stage {
            CallStage::AwaitingGrant(exchange) | CallStage::Forwarded(exchange) => {
                self.cancel_exchange(cx, exchange);
            }
            CallStage::Delivering(delivery) => self.cancel_delivery(cx, delivery),
            CallStage::AwaitingHandover => {}
            CallStage::AtHome => {
                if let Some(key) = call.req.key {
                    self.remove_waiter(key, Waiter::Call(id));
                }
            }
        }
    }

    /// Answers a call and removes it.
    pub(super) fn answer_call(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        answer: Answer,
        body: Bytes,
    ) {
        let answer = self.with_retry_after(answer);
        let Some(call) = self.end_call(cx.now, id, &answer) else { return };
        let answer = if call.may_have_run && call.req.key.is_none() {
            answer.with_unknown_outcome()
        } else {
            answer
        };
        cx.push(Action::RecordCall(observation(cx.now, &call, &answer)));
        cx.push(Action::Answer { call: id, chain: Some(call.req.chain), answer, body });
    }

    /// Refuses a call that has no chain yet. `may_have_run` is set if the call may be a resend.
    fn refuse_call(
        &mut self,
        cx: &mut Context<'_>,
        call: CallId,
        chain: Option<ChainId>,
        err: ErrorKind,
        may_have_run: bool,
    ) {
        let answer = self.with_retry_after(Answer::from_error(err, None));
        let answer = if may_have_run { answer.with_unknown_outcome() } else { answer };
        cx.push(Action::Answer { call, chain, answer, body: Bytes::new() });
    }

    fn end_call(&mut self, now: Timestamp, id: CallId, answer: &Answer) -> Option<OpenCall> {
        let call = self.calls.remove(&id)?;
        self.timers.clear(call.req.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent.and_then(|it| self.parent_mut(it)) {
            parent.open_calls.remove(&id);
        } else if answer.error.is_none() {
            self.recent_failures.record_answered(call.req.digest);
        } else if call.req.key.is_none() && answer.error.is_some_and(counts_as_failure) {
            self.recent_failures.record_failure(now, call.req.digest, call.req.chain);
        }
        Some(call)
    }

    /// The attempt with this id, if it is at this gate.
    pub(super) fn parent_mut(
        &mut self,
        id: AttemptId,
    ) -> Option<&mut super::gate_attempt::GateAttempt> {
        let stream = self.streams_by_attempt.get(&id)?;
        self.gate_attempts.get_mut(stream)
    }

    pub(super) fn on_issue_keys(&mut self, cx: &mut Context<'_>, call: CallId, count: u32) {
        if self.is_leaving {
            return self.refuse_call(cx, call, None, ErrorKind::Leaving, false);
        }
        let count = count.min(self.cfg.max_keys);
        let keys = (0..count).map(|_| self.own_home.mint.mint(cx.now)).collect();
        cx.push(Action::Keys(call, keys));
    }

    /// Fills in the retry delay if the error requires one.
    fn with_retry_after(&mut self, mut answer: Answer) -> Answer {
        let wanted =
            answer.error.is_some_and(|it| it.response().retry_advice == RetryAdvice::AfterBacklog);
        if wanted && answer.retry_after.is_none() {
            answer.retry_after = Some(self.jittered_retry_after());
        }
        answer
    }
}

/// Whether an equal call that follows this error counts as a resend.
fn counts_as_failure(err: ErrorKind) -> bool {
    !matches!(err, ErrorKind::RetryRefused | ErrorKind::WorkspaceLimit | ErrorKind::Suspect)
}

fn observation(now: Timestamp, call: &OpenCall, answer: &Answer) -> Observation {
    let in_time = now <= call.req.deadline;
    Observation {
        service: call.req.service.clone(),
        kind: call.req.kind.clone(),
        workspace: call.req.workspace.clone(),
        status: answer.status,
        error: answer.error,
        latency: now.saturating_sub(call.arrived),
        is_good: answer.outcome == Outcome::Ran && answer.status < 500 && in_time,
    }
}

/// Observation of a call that was refused before it was assigned to a chain.
fn refusal_observation(
    service: ServiceName,
    kind: KindName,
    workspace: WorkspaceName,
    err: ErrorKind,
) -> Observation {
    let (status, error) = (err.response().status, Some(err));
    Observation { service, kind, workspace, status, error, latency: Duration::ZERO, is_good: false }
}

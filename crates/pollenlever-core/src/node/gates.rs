use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::context::Context;
use super::gate_attempt::{GateAttempt, GateStage};
use super::node::{Node, TargetStage};
use crate::Timestamp;
use crate::admission::{RunOutcome, Ticket, Verdict};
use crate::answer::{Answer, ErrorKind};
use crate::id::{AttemptId, StreamId};
use crate::message::{AttemptHead, GateLoad, PeerReply};
use crate::once::{AttemptState, Waiter};
use crate::policy::Action;

/// Gate: attempts for the target beside this node.
impl Node {
    pub(super) fn on_attempt(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        head: AttemptHead,
        body: Bytes,
    ) {
        if let Err(state) = self.seals.register(head.id) {
            return self.reply_with_state(cx, stream, state);
        }
        let id = head.id;
        let deadline = cx.now + head.time_left;
        let attempt = GateAttempt {
            head,
            body,
            deadline,
            stage: GateStage::Queued,
            sender_awaits_reply: true,
            children: BTreeSet::new(),
            open_calls: BTreeSet::new(),
        };
        let refusal = self.arrival_error(cx.now, &attempt);
        self.gate_attempts.insert(stream, attempt);
        self.streams_by_attempt.insert(id, stream);
        match refusal {
            Some(err) => self.refuse_attempt(cx, stream, err, None),
            None => self.queue_attempt(cx, stream),
        }
    }

    /// Answers an attempt that was received or sealed before, without starting it.
    fn reply_with_state(&mut self, cx: &mut Context<'_>, stream: StreamId, state: AttemptState) {
        let (answer, body) = match state {
            AttemptState::Sealed(err) => (Answer::from_error(err, None), Bytes::new()),
            AttemptState::Ended(answer, body) => (answer, body),
            AttemptState::Waiting | AttemptState::Running | AttemptState::Unknown => {
                (Answer::from_error(ErrorKind::OutcomeUnknown, None), Bytes::new())
            }
        };
        let load = self.gate_load(cx.now, 0);
        cx.push(Action::Reply(stream, PeerReply::Attempt(answer, load), body));
    }

    /// Error with which an arriving attempt is refused, if it is.
    fn arrival_error(&self, now: Timestamp, attempt: &GateAttempt) -> Option<ErrorKind> {
        if self.is_leaving || self.target == TargetStage::Leaving {
            return Some(ErrorKind::Leaving);
        }
        if self.target == TargetStage::Exited {
            return Some(ErrorKind::TargetUnreachable);
        }
        if attempt.deadline <= now {
            return Some(ErrorKind::DeadlineTooShort);
        }
        let max_crashes = self.max_crashes_of(&attempt.head);
        let crashes = self.suspicion.crashes(attempt.head.digest).max(attempt.head.crashes);
        (crashes >= max_crashes).then_some(ErrorKind::Suspect)
    }

    fn queue_attempt(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        if self.park_suspect(cx, stream) {
            return;
        }
        self.offer(cx, stream);
    }

    pub(super) fn offer(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(attempt) = self.gate_attempts.get_mut(&stream) else { return };
        attempt.stage = GateStage::Queued;
        let ticket = Ticket {
            id: stream,
            service: attempt.head.service.clone(),
            importance: attempt.head.importance,
            chain: attempt.head.chain,
            depth: attempt.head.depth,
            workspace: attempt.head.workspace.clone(),
            deadline: attempt.deadline,
        };
        let mut verdicts = Vec::new();
        self.admission.offer(cx.now, ticket, &mut verdicts);
        self.apply_verdicts(cx, verdicts);
    }

    /// Carries out verdicts of admission and any further verdicts that result.
    pub(super) fn apply_verdicts(&mut self, cx: &mut Context<'_>, verdicts: Vec<Verdict>) {
        let mut queue = VecDeque::from(verdicts);
        while let Some(verdict) = queue.pop_front() {
            match verdict {
                Verdict::Run(stream) => {
                    self.push_ready(stream);
                    queue.extend(self.start_ready(cx));
                }
                Verdict::Shed { id, error, retry_after } => {
                    self.refuse_attempt(cx, id, error, Some(retry_after));
                }
            }
        }
    }

    /// Starts the attempts that have a slot, unless a suspect has to run alone. Returns the verdicts
    /// that result from freed slots.
    pub(super) fn start_ready(&mut self, cx: &mut Context<'_>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while let Some(stream) = self.pop_startable() {
            match self.start_error(cx.now, stream) {
                None => self.start_run(cx, stream),
                Some(err) => {
                    self.release_unused_slot(cx.now, stream, &mut verdicts);
                    self.refuse_attempt(cx, stream, err, None);
                }
            }
        }
        verdicts
    }

    /// Frees the slot of an attempt that was never started.
    fn release_unused_slot(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        verdicts: &mut Vec<Verdict>,
    ) {
        self.ready_attempts.retain(|it| *it != stream);
        let outcome = RunOutcome::Cancelled;
        self.admission.record_finished(now, stream, Duration::ZERO, outcome, verdicts);
    }

    /// Error with which an attempt that has a slot is refused, if it must not start.
    fn start_error(&self, now: Timestamp, stream: StreamId) -> Option<ErrorKind> {
        match self.gate_attempts.get(&stream) {
            Some(attempt) if now >= attempt.deadline => Some(ErrorKind::DeadlineTooShort),
            Some(attempt) if self.is_at_crash_limit(attempt) => Some(ErrorKind::Suspect),
            Some(_) => None,
            None => Some(ErrorKind::Internal),
        }
    }

    /// Seals an attempt that has not run and replies with the error.
    pub(super) fn refuse_attempt(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        err: ErrorKind,
        retry_after: Option<Duration>,
    ) {
        let Some(attempt) = self.remove_attempt(cx, stream) else { return };
        self.seals.set_state(attempt.head.id, AttemptState::Sealed(err));
        let answer = Answer::from_error(err, retry_after);
        self.reply_attempt(cx, stream, &attempt, answer, Bytes::new());
    }

    pub(super) fn reply_attempt(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        attempt: &GateAttempt,
        answer: Answer,
        body: Bytes,
    ) {
        if attempt.sender_awaits_reply {
            let load = self.gate_load(cx.now, self.suspicion.crashes(attempt.head.digest));
            cx.push(Action::Reply(stream, PeerReply::Attempt(answer, load), body));
        }
    }

    pub(super) fn gate_load(&self, now: Timestamp, crashes: u32) -> GateLoad {
        let leaving = self.is_leaving || self.target == TargetStage::Leaving;
        GateLoad { leaving, crashes, ..self.admission.load(now) }
    }

    /// Removes an attempt and ends the nested calls that its target made during it.
    pub(super) fn remove_attempt(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
    ) -> Option<GateAttempt> {
        let attempt = self.gate_attempts.remove(&stream)?;
        self.streams_by_attempt.remove(&attempt.head.id);
        self.parked_suspects.remove(&stream);
        for &call in &attempt.open_calls {
            self.on_call_deadline(cx, call);
        }
        if self.isolated_suspect == Some(stream) {
            self.isolated_suspect = None;
            self.release_suspect(cx);
        }
        Some(attempt)
    }

    pub(super) fn on_request_cancelled(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        if let Some(key) = self.forwarded_keys.remove(&stream) {
            return self.remove_waiter(key, Waiter::Stream(stream));
        }
        let Some(attempt) = self.gate_attempts.get_mut(&stream) else { return };
        attempt.sender_awaits_reply = false;
        let is_at_most_once = attempt.head.key.is_some();
        match attempt.stage {
            GateStage::Parked | GateStage::Queued | GateStage::Ready => {
                self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
            }
            GateStage::Running { run, started } if !is_at_most_once => {
                self.cancel_run(cx, stream, run, started);
            }
            GateStage::Running { .. } => {}
        }
    }

    /// Refuses an attempt unless it is running or has ended.
    pub(super) fn refuse_waiting(&mut self, cx: &mut Context<'_>, id: AttemptId) {
        let Some(&stream) = self.streams_by_attempt.get(&id) else { return };
        let waits = self.gate_attempts.get(&stream).is_some_and(|it| !it.is_running());
        if waits {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
        }
    }

    /// Removes an attempt that has not started from the queue and refuses it.
    pub(super) fn refuse_waiting_stream(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        err: ErrorKind,
    ) {
        let mut verdicts = Vec::new();
        match self.gate_attempts.get(&stream).map(|it| it.stage) {
            Some(GateStage::Queued) => {
                self.admission.remove(cx.now, stream);
            }
            Some(GateStage::Ready) => self.release_unused_slot(cx.now, stream, &mut verdicts),
            _ => {}
        }
        self.refuse_attempt(cx, stream, err, None);
        verdicts.extend(self.start_ready(cx));
        self.apply_verdicts(cx, verdicts);
    }

    /// Refuses all attempts that have not started, if the node or its target is leaving.
    pub(super) fn refuse_all_waiting(&mut self, cx: &mut Context<'_>) {
        if !self.is_leaving && self.target != TargetStage::Leaving {
            return;
        }
        let waiting = self.gate_attempts.iter().filter(|(_, it)| !it.is_running());
        let waiting: Vec<StreamId> = waiting.map(|(stream, _)| *stream).collect();
        for stream in waiting {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Leaving);
        }
    }

    pub(super) fn on_parked_deadline(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        if self.parked_suspects.contains(&stream) {
            self.refuse_attempt(cx, stream, ErrorKind::DeadlineTooShort, None);
        }
    }

    pub(super) fn tick_admission(&mut self, cx: &mut Context<'_>) {
        if self.admission.next_wakeup().is_some_and(|at| at <= cx.now) {
            let mut verdicts = Vec::new();
            self.admission.tick(cx.now, &mut verdicts);
            self.apply_verdicts(cx, verdicts);
        }
    }
}

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::cx::Cx;
use super::gate_attempt::{GateAttempt, GateStage};
use super::node::{Node, TargetStage};
use crate::Timestamp;
use crate::admission::{RunOutcome, Ticket, Verdict};
use crate::answer::{Answer, ErrorKind};
use crate::id::{AttemptId, StreamId};
use crate::message::{AttemptHead, GateLoad, PeerReply};
use crate::once::{Fate, Waiter};
use crate::policy::Action;

/// Gate: attempts for the target beside this node.
impl Node {
    pub(super) fn on_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        head: AttemptHead,
        body: Bytes,
    ) {
        if let Err(fate) = self.seals.begin(head.id) {
            return self.repeat_fate(cx, stream, fate);
        }
        let id = head.id;
        let deadline = cx.now + head.time_left;
        let attempt = GateAttempt {
            head,
            body,
            deadline,
            stage: GateStage::Queued,
            reply_wanted: true,
            children: BTreeSet::new(),
            open_calls: BTreeSet::new(),
        };
        let refusal = self.refusal(cx.now, &attempt);
        self.streams.insert(stream, attempt);
        self.attempts.insert(id, stream);
        match refusal {
            Some(err) => self.refuse_attempt(cx, stream, err, None),
            None => self.queue_attempt(cx, stream),
        }
    }

    /// Answers an attempt that was seen or sealed before; it is not started.
    fn repeat_fate(&mut self, cx: &mut Cx<'_>, stream: StreamId, fate: Fate) {
        let (answer, body) = match fate {
            Fate::Sealed(err) => (Answer::from_error(err, None), Bytes::new()),
            Fate::Ended(answer, body) => (answer, body),
            Fate::Waiting | Fate::Running | Fate::Lost => {
                (Answer::from_error(ErrorKind::OutcomeUnknown, None), Bytes::new())
            }
        };
        let load = self.gate_load(cx.now, 0);
        cx.push(Action::Reply(stream, PeerReply::Attempt(answer, load), body));
    }

    /// Why an attempt gets no place at the gate.
    fn refusal(&self, now: Timestamp, attempt: &GateAttempt) -> Option<ErrorKind> {
        if self.leaving || self.target == TargetStage::Leaving {
            return Some(ErrorKind::Leaving);
        }
        if self.target == TargetStage::Gone {
            return Some(ErrorKind::TargetUnreachable);
        }
        if attempt.deadline <= now {
            return Some(ErrorKind::DeadlineTooShort);
        }
        let max_crashes = self.max_crashes_of(&attempt.head);
        let crashes = self.suspicion.crashes(attempt.head.digest).max(attempt.head.crashes);
        (crashes >= max_crashes).then_some(ErrorKind::Suspect)
    }

    fn queue_attempt(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        if self.park_suspect(cx, stream) {
            return;
        }
        self.offer(cx, stream);
    }

    pub(super) fn offer(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        let Some(attempt) = self.streams.get_mut(&stream) else { return };
        attempt.stage = GateStage::Queued;
        let ticket = Ticket {
            id: stream,
            service: attempt.head.service.clone(),
            importance: attempt.head.importance,
            chain: attempt.head.chain,
            depth: attempt.head.depth,
            customer: attempt.head.customer.clone(),
            deadline: attempt.deadline,
        };
        let mut verdicts = Vec::new();
        self.admission.offer(cx.now, ticket, &mut verdicts);
        self.apply(cx, verdicts);
    }

    /// Carries out verdicts of admission, and those that follow from them.
    pub(super) fn apply(&mut self, cx: &mut Cx<'_>, verdicts: Vec<Verdict>) {
        let mut queue = VecDeque::from(verdicts);
        while let Some(verdict) = queue.pop_front() {
            match verdict {
                Verdict::Run(stream) => {
                    self.hold(stream);
                    queue.extend(self.start_held(cx));
                }
                Verdict::Shed { id, error, retry_after } => {
                    self.refuse_attempt(cx, id, error, Some(retry_after));
                }
            }
        }
    }

    /// Starts what holds a slot, as far as suspects that run alone allow. Returns further verdicts.
    pub(super) fn start_held(&mut self, cx: &mut Cx<'_>) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        while let Some(stream) = self.pop_startable() {
            match self.start_refusal(cx.now, stream) {
                None => self.start(cx, stream),
                Some(err) => {
                    self.give_back(cx.now, stream, &mut verdicts);
                    self.refuse_attempt(cx, stream, err, None);
                }
            }
        }
        verdicts
    }

    /// Frees the slot of an attempt that was not started.
    fn give_back(&mut self, now: Timestamp, stream: StreamId, verdicts: &mut Vec<Verdict>) {
        self.held.retain(|it| *it != stream);
        let outcome = RunOutcome::Cancelled;
        self.admission.finished(now, stream, Duration::ZERO, outcome, verdicts);
    }

    /// Why an attempt that holds a slot is not started after all.
    fn start_refusal(&self, now: Timestamp, stream: StreamId) -> Option<ErrorKind> {
        match self.streams.get(&stream) {
            Some(attempt) if now >= attempt.deadline => Some(ErrorKind::DeadlineTooShort),
            Some(attempt) if self.is_convicted(attempt) => Some(ErrorKind::Suspect),
            Some(_) => None,
            None => Some(ErrorKind::Internal),
        }
    }

    /// Seals an attempt that has not run and says so.
    pub(super) fn refuse_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        err: ErrorKind,
        retry_after: Option<Duration>,
    ) {
        let Some(attempt) = self.remove_attempt(cx, stream) else { return };
        self.seals.set(attempt.head.id, Fate::Sealed(err));
        let answer = Answer::from_error(err, retry_after);
        self.reply_attempt(cx, stream, &attempt, answer, Bytes::new());
    }

    pub(super) fn reply_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        attempt: &GateAttempt,
        answer: Answer,
        body: Bytes,
    ) {
        if attempt.reply_wanted {
            let load = self.gate_load(cx.now, self.suspicion.crashes(attempt.head.digest));
            cx.push(Action::Reply(stream, PeerReply::Attempt(answer, load), body));
        }
    }

    pub(super) fn gate_load(&self, now: Timestamp, crashes: u32) -> GateLoad {
        let leaving = self.leaving || self.target == TargetStage::Leaving;
        GateLoad { leaving, crashes, ..self.admission.load(now) }
    }

    /// Forgets an attempt and gives up on the calls that its target made inside it.
    pub(super) fn remove_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
    ) -> Option<GateAttempt> {
        let attempt = self.streams.remove(&stream)?;
        self.attempts.remove(&attempt.head.id);
        self.parked.remove(&stream);
        for &call in &attempt.open_calls {
            self.on_call_deadline(cx, call);
        }
        if self.lone_suspect == Some(stream) {
            self.lone_suspect = None;
            self.release_suspect(cx);
        }
        Some(attempt)
    }

    pub(super) fn on_request_cancelled(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        if let Some(key) = self.forwards.remove(&stream) {
            return self.remove_waiter(key, Waiter::Stream(stream));
        }
        let Some(attempt) = self.streams.get_mut(&stream) else { return };
        attempt.reply_wanted = false;
        let is_once = attempt.head.key.is_some();
        match attempt.stage {
            GateStage::Parked | GateStage::Queued | GateStage::Held => {
                self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
            }
            GateStage::Running { run, started } if !is_once => {
                self.cancel_run(cx, stream, run, started);
            }
            GateStage::Running { .. } => {}
        }
    }

    /// Refuses an attempt that waits, if it still does.
    pub(super) fn refuse_waiting(&mut self, cx: &mut Cx<'_>, id: AttemptId) {
        let Some(&stream) = self.attempts.get(&id) else { return };
        let waits = self.streams.get(&stream).is_some_and(|it| !it.is_running());
        if waits {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
        }
    }

    /// Takes an attempt that was not started out of the queue and refuses it.
    pub(super) fn refuse_waiting_stream(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        err: ErrorKind,
    ) {
        let mut verdicts = Vec::new();
        match self.streams.get(&stream).map(|it| it.stage) {
            Some(GateStage::Queued) => {
                self.admission.remove(cx.now, stream);
            }
            Some(GateStage::Held) => self.give_back(cx.now, stream, &mut verdicts),
            _ => {}
        }
        self.refuse_attempt(cx, stream, err, None);
        verdicts.extend(self.start_held(cx));
        self.apply(cx, verdicts);
    }

    /// Refuses what still waits at a gate whose target is leaving.
    pub(super) fn refuse_queue(&mut self, cx: &mut Cx<'_>) {
        if !self.leaving && self.target != TargetStage::Leaving {
            return;
        }
        let waiting = self.streams.iter().filter(|(_, it)| !it.is_running());
        let waiting: Vec<StreamId> = waiting.map(|(stream, _)| *stream).collect();
        for stream in waiting {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Leaving);
        }
    }

    pub(super) fn on_parked_deadline(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        if self.parked.contains(&stream) {
            self.refuse_attempt(cx, stream, ErrorKind::DeadlineTooShort, None);
        }
    }

    pub(super) fn tick_admission(&mut self, cx: &mut Cx<'_>) {
        if self.admission.next_wakeup().is_some_and(|at| at <= cx.now) {
            let mut verdicts = Vec::new();
            self.admission.tick(cx.now, &mut verdicts);
            self.apply(cx, verdicts);
        }
    }
}

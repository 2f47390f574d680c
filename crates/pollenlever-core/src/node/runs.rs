use std::time::Duration;

use bytes::Bytes;

use super::context::Context;
use super::gate_attempt::GateStage;
use super::node::Node;
use crate::Timestamp;
use crate::admission::RunOutcome;
use crate::answer::{Answer, ErrorKind};
use crate::id::{RunId, StreamId};
use crate::once::AttemptState;
use crate::policy::{Action, RunResult};

/// Statuses with which a target itself sheds a request: Too Many Requests, Service Unavailable.
const SHED_STATUSES: [u16; 2] = [429, 503];

/// Gate: runs on the target beside this node.
impl Node {
    pub(super) fn start_run(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let run = self.allocate_id();
        let Some(attempt) = self.gate_attempts.get_mut(&stream) else { return };
        attempt.stage = GateStage::Running { run, started: cx.now };
        let head = &attempt.head;
        self.seals.set_state(head.id, AttemptState::Running);
        self.streams_by_run.insert(run, stream);
        cx.push(Action::Run {
            run,
            attempt: head.id,
            method: head.method.clone(),
            path: head.path.clone(),
            headers: head.headers.clone(),
            body: attempt.body.clone(),
            time_left: attempt.deadline.saturating_sub(cx.now),
        });
    }

    pub(super) fn on_run_ended(&mut self, cx: &mut Context<'_>, run: RunId, result: RunResult) {
        let Some(stream) = self.streams_by_run.remove(&run) else { return };
        let Some(attempt) = self.gate_attempts.get(&stream) else { return };
        let digest = attempt.head.digest;
        let GateStage::Running { started, .. } = attempt.stage else { return };
        let outcome = outcome_of(&result);
        let service_time = cx.now.saturating_sub(started);
        match result {
            RunResult::Answered { status, headers, body } => {
                self.suspicion.remove(digest);
                self.end_run(cx, stream, Answer::from_target(status, headers), body);
            }
            RunResult::Unreachable => {
                self.refuse_attempt(cx, stream, ErrorKind::TargetUnreachable, None);
            }
            RunResult::Crashed => {
                self.record_crash(cx, stream);
                self.fail_run(cx, stream, ErrorKind::TargetCrashed);
            }
            RunResult::Truncated | RunResult::TooLarge => {
                self.fail_run(cx, stream, ErrorKind::AnswerCut);
            }
            RunResult::TimedOut => self.fail_run(cx, stream, ErrorKind::DeadlinePassed),
        }
        self.free_slot(cx, stream, service_time, outcome);
    }

    fn free_slot(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        service_time: Duration,
        outcome: RunOutcome,
    ) {
        let mut verdicts = Vec::new();
        self.admission.record_finished(cx.now, stream, service_time, outcome, &mut verdicts);
        verdicts.extend(self.start_ready(cx));
        self.apply_verdicts(cx, verdicts);
    }

    fn fail_run(&mut self, cx: &mut Context<'_>, stream: StreamId, err: ErrorKind) {
        self.end_run(cx, stream, Answer::from_error(err, None), Bytes::new());
    }

    /// Ends an attempt that was sent to the target. Its answer is kept if the request has a key.
    fn end_run(&mut self, cx: &mut Context<'_>, stream: StreamId, answer: Answer, body: Bytes) {
        let Some(attempt) = self.remove_attempt(cx, stream) else { return };
        if attempt.head.key.is_some() {
            self.seals.keep_answer(attempt.head.id, answer.clone(), body.clone());
        } else {
            self.seals.set_state(attempt.head.id, AttemptState::Unknown);
        }
        self.reply_attempt(cx, stream, &attempt, answer, body);
    }

    pub(super) fn cancel_run(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        run: RunId,
        started: Timestamp,
    ) {
        self.streams_by_run.remove(&run);
        cx.push(Action::CancelRun(run));
        self.fail_run(cx, stream, ErrorKind::Cancelled);
        let service_time = cx.now.saturating_sub(started);
        self.free_slot(cx, stream, service_time, RunOutcome::Cancelled);
    }
}

fn outcome_of(result: &RunResult) -> RunOutcome {
    match result {
        RunResult::Answered { status, .. } if SHED_STATUSES.contains(status) => {
            RunOutcome::ShedByTarget
        }
        RunResult::Answered { .. } => RunOutcome::Answered,
        _ => RunOutcome::Failed,
    }
}

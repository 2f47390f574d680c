use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::Timestamp;
use crate::answer::{Answer, ErrorKind};
use crate::config::ServiceConfig;
use crate::id::{RunId, ServiceName, StreamId};
use crate::message::{AttemptHead, GateLoad, PeerReply};
use crate::policy::{Action, RunResult};

/// Gate: requests for the target beside this node, started in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Gate {
    announced_slots: Option<u32>,
    configured_slots: HashMap<ServiceName, u32>,
    queue: VecDeque<QueuedAttempt>,
    running: HashMap<RunId, StreamId>,
    next_run: RunId,
    is_leaving: bool,
}

#[derive(Debug)]
struct QueuedAttempt {
    stream: StreamId,
    head: AttemptHead,
    body: Bytes,
    deadline: Timestamp,
}

impl Gate {
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.announced_slots = Some(slots);
    }

    pub(super) fn configure(&mut self, cfg: &ServiceConfig) {
        self.configured_slots.insert(cfg.service.clone(), cfg.slots);
    }

    pub(super) fn leave(&mut self) {
        self.is_leaving = true;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    pub(super) fn on_attempt(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        head: AttemptHead,
        body: Bytes,
        out: &mut Vec<Action>,
    ) {
        if self.is_leaving {
            let answer = Answer::from_error(ErrorKind::Leaving, None);
            return out.push(self.attempt_reply(stream, answer, Bytes::new()));
        }
        let deadline = now + head.time_left;
        self.queue.push_back(QueuedAttempt { stream, head, body, deadline });
        self.start_next(now, out);
    }

    pub(super) fn on_request_cancelled(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        out: &mut Vec<Action>,
    ) {
        self.queue.retain(|it| it.stream != stream);
        let run = self.running.iter().find(|(_, it)| **it == stream).map(|(run, _)| *run);
        if let Some(run) = run {
            self.running.remove(&run);
            out.push(Action::CancelRun(run));
            self.start_next(now, out);
        }
    }

    pub(super) fn on_run_ended(
        &mut self,
        now: Timestamp,
        run: RunId,
        result: RunResult,
        out: &mut Vec<Action>,
    ) {
        let Some(stream) = self.running.remove(&run) else { return };
        let (answer, body) = match result {
            RunResult::Answered { status, headers, body } => {
                (Answer::from_target(status, headers), body)
            }
            RunResult::Unreachable => error_answer(ErrorKind::TargetUnreachable),
            RunResult::Crashed => error_answer(ErrorKind::TargetCrashed),
            RunResult::Truncated | RunResult::TooLarge => error_answer(ErrorKind::AnswerCut),
            RunResult::TimedOut => error_answer(ErrorKind::DeadlinePassed),
        };
        out.push(self.attempt_reply(stream, answer, body));
        self.start_next(now, out);
    }

    fn start_next(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some(queued) = self.queue.front() {
            let configured = self.configured_slots.get(&queued.head.service).copied();
            let slots = self.announced_slots.or(configured).unwrap_or(1);
            if self.running.len() >= slots as usize {
                break;
            }
            let Some(QueuedAttempt { stream, head, body, deadline }) = self.queue.pop_front()
            else {
                break;
            };
            self.next_run += 1;
            self.running.insert(self.next_run, stream);
            out.push(Action::Run {
                run: self.next_run,
                attempt: head.id,
                method: head.method,
                path: head.path,
                headers: head.headers,
                body,
                time_left: deadline.saturating_sub(now),
            });
        }
    }

    fn attempt_reply(&self, stream: StreamId, answer: Answer, body: Bytes) -> Action {
        let load = GateLoad {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            leaving: self.is_leaving,
            ..GateLoad::default()
        };
        Action::Reply(stream, PeerReply::Attempt(answer, load), body)
    }
}

fn error_answer(kind: ErrorKind) -> (Answer, Bytes) {
    (Answer::from_error(kind, None), Bytes::new())
}

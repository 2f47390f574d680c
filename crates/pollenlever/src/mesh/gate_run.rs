use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::admission::RunOutcome;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::ContentDigest;
use pollenlever_core::mesh::{AttemptOutcome, AttemptReply, MeshAttempt};

use super::gate::{Gate, refused};
use super::log_event::{LogEvent, log_event};
use super::run_start::RunStart;
use super::slot_guard::SlotGuard;
use super::target_result::TargetResult;
use super::target_run::TargetRun;

/// Statuses with which a target reports that a request ran and failed.
const FAILED_STATUSES: std::ops::RangeInclusive<u16> = 500..=599;

/// Runs of admitted attempts on the target.
impl Gate {
    /// Repeats the checks before the run: while the request waited, the target may have left or the
    /// owner may have sealed the attempt.
    pub(super) fn begin_run(
        &self,
        head: &MeshAttempt,
        digest: ContentDigest,
        deadline: Duration,
    ) -> Result<RunStart, AttemptOutcome> {
        let now = self.clock.now();
        let mut state = self.lock();
        let refusal = state.refusal_reason(head, digest);
        let expired = (deadline <= now).then_some(ErrorKind::DeadlineTooShort);
        if let Some(error) = refusal.or(expired) {
            state.ledger.seal(head.id);
            return Err(refused(error, None));
        }
        if !state.ledger.start(head.id) {
            return Err(refused(ErrorKind::Overloaded, None));
        }
        let target = state.registry.serving().ok_or_else(|| refused(ErrorKind::NoTarget, None))?;
        let (instance, process_started) = (target.instance.clone(), target.started);
        Ok(RunStart { instance, process_started, digest, at: now, time_left: deadline - now })
    }

    pub(super) async fn run(
        &self,
        mut slot: SlotGuard,
        start: RunStart,
        head: MeshAttempt,
        body: Bytes,
    ) -> (AttemptReply, Bytes) {
        let run = self.client.run(&start.instance, &head, start.time_left, body);
        let run = tokio::time::timeout(start.time_left, run).await;
        let TargetRun { result, statement } = run.unwrap_or_else(|_| TargetResult::TimedOut.into());
        if let Some(statement) = statement {
            self.record_reported_load(&start, &statement);
            self.record_statement(&start, statement);
        }
        if matches!(result, TargetResult::Rejected) {
            self.lock().pace.record_rejection(slot.id());
        }
        slot.record_end(self.run_outcome(&result));
        drop(slot);
        self.record_result(&head, start.digest, &result);
        self.log_run(&start, &head, &result);
        let (outcome, headers, body) = match result {
            TargetResult::Answered { status, headers, body } => {
                (self.outcome_for_status(status), headers, body)
            }
            TargetResult::Rejected => (AttemptOutcome::RejectedByTarget, Vec::new(), Bytes::new()),
            TargetResult::WrongInstance | TargetResult::Unreachable(_) => {
                (refused(ErrorKind::NoTarget, None), Vec::new(), Bytes::new())
            }
            TargetResult::NoConnectionLeft => {
                (refused(ErrorKind::Overloaded, None), Vec::new(), Bytes::new())
            }
            TargetResult::Unsendable(_) => {
                (refused(ErrorKind::MalformedRequest, None), Vec::new(), Bytes::new())
            }
            TargetResult::Unknown(_) | TargetResult::TimedOut => {
                (AttemptOutcome::Unknown, Vec::new(), Bytes::new())
            }
        };
        (AttemptReply { headers, ..self.reply(&head, outcome) }, body)
    }

    /// Outcome of a run that the target answered with `status`.
    fn outcome_for_status(&self, status: u16) -> AttemptOutcome {
        if FAILED_STATUSES.contains(&status) && self.has_overloaded_callees() {
            return AttemptOutcome::FailedDownstream(status);
        }
        AttemptOutcome::Answered(status)
    }

    fn record_result(&self, head: &MeshAttempt, digest: ContentDigest, result: &TargetResult) {
        let now = self.clock.now();
        let has_overloaded_callees = self.has_overloaded_callees();
        let mut state = self.lock();
        match result {
            TargetResult::Answered { status, .. } => {
                state.suspects.record_answered(digest);
                let failed = FAILED_STATUSES.contains(status);
                // With overloaded callees another target would fail as well.
                if !failed || !has_overloaded_callees {
                    state.failures.record(now, failed);
                }
            }
            TargetResult::Rejected => state.failures.record(now, true),
            TargetResult::Unknown(_) => {
                state.suspects.record_interrupted(now, digest);
                state.failures.record(now, true);
            }
            TargetResult::TimedOut => state.suspects.record_interrupted(now, digest),
            TargetResult::NoConnectionLeft | TargetResult::Unsendable(_) => {}
            TargetResult::WrongInstance | TargetResult::Unreachable(_) => {
                let request = &head.request_id;
                let reason = result.reason();
                log_event!(LogEvent::TargetClosed, "reason={reason:?} request={request}");
                state.registry.mark_unreachable();
                let target = state.registry.current().filter(|it| !it.is_draining);
                if let Some(started) = target.map(|it| it.started) {
                    state.record_crash(now, started, "target accepts no connections");
                    self.notify_crash();
                }
            }
        }
    }

    /// How a run counts for the concurrency limit. A failure lowers the limit only if callees are
    /// overloaded or the time ran out; targets also reject and fail at random.
    fn run_outcome(&self, result: &TargetResult) -> RunOutcome {
        match result {
            TargetResult::Answered { status, .. } if !FAILED_STATUSES.contains(status) => {
                RunOutcome::Answered
            }
            TargetResult::Answered { status: 504, .. } => RunOutcome::Failed,
            TargetResult::Answered { .. } if self.has_overloaded_callees() => RunOutcome::Failed,
            TargetResult::TimedOut => RunOutcome::Failed,
            _ => RunOutcome::Cancelled,
        }
    }
}

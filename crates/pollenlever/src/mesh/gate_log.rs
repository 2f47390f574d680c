use pollenlever_core::mesh::{AttemptOutcome, MeshAttempt};

use super::gate::Gate;
use super::log_event::{LogEvent, log_event};
use super::request_log::RequestLog;
use super::run_start::RunStart;
use super::target_result::TargetResult;

/// Log lines and counters of single attempts.
impl Gate {
    /// Counts a finished run, and logs it if it is unusual or part of the sample.
    pub(super) fn log_run(&self, start: &RunStart, head: &MeshAttempt, result: &TargetResult) {
        let now = self.clock.now();
        let took = now.saturating_sub(start.at);
        self.metrics.record_run(result.name(), Some(took.as_secs_f64()));
        let is_ordinary = matches!(result, TargetResult::Answered { status, .. } if *status < 500);
        if is_ordinary && !RequestLog::is_sampled(&head.request_id) {
            return;
        }
        let Some(omitted) = self.log.admit_line(now) else { return };
        let load = self.load();
        log_event!(
            LogEvent::RunEnded,
            "request={} instance={} result={} reason={:?} took_ms={} left_ms={} in_flight={} \
             limit={} strained_permille={} omitted={omitted}",
            head.request_id,
            start.instance,
            result.name(),
            result.reason(),
            took.as_millis(),
            start.time_left.saturating_sub(took).as_millis(),
            load.in_flight,
            load.limit,
            load.overload_failure_permille
        );
    }

    /// Counts and logs an attempt that was refused before it reached the target.
    pub(super) fn log_refusal(&self, head: &MeshAttempt, refusal: &AttemptOutcome) {
        let AttemptOutcome::RefusedByGate { error, retry_after } = refusal else { return };
        self.metrics.record_run(error.as_str(), None);
        let now = self.clock.now();
        let Some(omitted) = self.log.admit_line(now) else { return };
        let load = self.load();
        log_event!(
            LogEvent::RunRefused,
            "request={} reason={} in_flight={} queued={} limit={} retry_after_ms={} \
             report_age_ms={} max_wait_ms={} importance={:?} depth={} omitted={omitted}",
            head.request_id,
            error.as_str(),
            load.in_flight,
            load.queued,
            load.limit,
            retry_after.unwrap_or_default().as_millis(),
            self.report_age().as_millis(),
            head.max_wait.as_millis(),
            head.lineage.importance,
            head.lineage.depth
        );
    }
}

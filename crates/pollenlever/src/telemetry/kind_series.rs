use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::histogram::Histogram;

use super::call_metrics::CallMetrics;
use super::labels::{CallLabels, KindLabels};
use super::{KindBurn, KindObjective, MultiWindowCounts, Reason, Verdict};

/// Metrics and windowed counts of one request kind. Each counter is created at the first call that
/// needs it and cached, so that its labels are looked up only once.
#[derive(Debug)]
pub(super) struct KindSeries {
    labels: KindLabels,
    metrics: CallMetrics,
    latency: OnceLock<Histogram>,
    good: OnceLock<Counter>,
    bad: [OnceLock<Counter>; Reason::COUNT],
    invalid: [OnceLock<Counter>; Reason::COUNT],
    state: Mutex<KindState>,
}

/// The part of a series that changes under a lock.
#[derive(Debug, Default)]
struct KindState {
    counts: Option<Box<MultiWindowCounts>>,
    objective: Option<KindObjective>,
}

impl KindSeries {
    /// Creates a series without counts; its metrics appear at the first call.
    pub(super) fn new(service: &str, kind: &str, metrics: &CallMetrics) -> KindSeries {
        let labels = KindLabels { service: service.to_owned(), kind: kind.to_owned() };
        KindSeries {
            labels,
            latency: OnceLock::new(),
            metrics: metrics.clone(),
            good: OnceLock::new(),
            bad: [const { OnceLock::new() }; Reason::COUNT],
            invalid: [const { OnceLock::new() }; Reason::COUNT],
            state: Mutex::default(),
        }
    }

    /// Records one call that ended at `now`, the time since the node started.
    pub(super) fn record_call(&self, now: Duration, verdict: Verdict, latency: Duration) {
        self.counter(verdict).inc();
        self.histogram().observe(latency.as_secs_f64());
        self.with_state(|it| it.counts.get_or_insert_default().record_call(now, verdict));
    }

    /// Sets the declared objective.
    pub(super) fn set_objective(&self, objective: KindObjective) {
        self.with_state(|it| it.objective = Some(objective));
    }

    /// Returns the counts of the windows that end at `now`, for the burn report.
    pub(super) fn burn(&self, now: Duration) -> KindBurn {
        let (windows, objective) = self.with_state(|it| {
            let windows = it.counts.as_ref().map(|it| it.windows(now));
            (windows.unwrap_or_default(), it.objective)
        });
        let KindLabels { service, kind } = self.labels.clone();
        KindBurn { service, kind, objective, windows }
    }

    fn histogram(&self) -> &Histogram {
        self.latency.get_or_init(|| self.metrics.latencies.get_or_create_owned(&self.labels))
    }

    fn counter(&self, verdict: Verdict) -> &Counter {
        let (slot, reason) = match verdict {
            Verdict::Good => (&self.good, ""),
            Verdict::Invalid(kind) => (&self.invalid[Reason::Error(kind).index()], kind.as_str()),
            Verdict::Bad(reason) => (&self.bad[reason.index()], reason.as_str()),
        };
        slot.get_or_init(|| {
            let KindLabels { service, kind } = self.labels.clone();
            let labels = CallLabels { service, kind, verdict: verdict.as_str(), reason };
            self.metrics.calls.get_or_create_owned(&labels)
        })
    }

    fn with_state<T>(&self, run: impl FnOnce(&mut KindState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

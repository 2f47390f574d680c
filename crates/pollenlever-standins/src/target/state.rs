use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use super::{Faults, ReportMode, RunLog, TargetOptions};

/// Time between two entries of the load history.
const HISTORY_STEP: Duration = Duration::from_millis(100);
/// Entries of the load history that are kept.
const HISTORY_LEN: usize = 100;

/// What the handlers of a stand-in target share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: TargetOptions,
    pub(super) slots: Semaphore,
    pub(super) present: AtomicUsize,
    pub(super) leaving: AtomicBool,
    pub(super) log: RunLog,
    pub(super) client: reqwest::Client,
    answers: AtomicUsize,
    faults: Mutex<Faults>,
    history: Mutex<VecDeque<usize>>,
    started: Instant,
}

impl State {
    pub(super) fn new(options: TargetOptions) -> io::Result<State> {
        Ok(State {
            slots: Semaphore::new(options.slots),
            present: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            log: RunLog::open(options.log.as_deref())?,
            client: reqwest::Client::new(),
            answers: AtomicUsize::new(0),
            faults: Mutex::new(Faults::default()),
            history: Mutex::new(VecDeque::new()),
            started: Instant::now(),
            options,
        })
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap_or_else(PoisonError::into_inner) = faults;
    }

    pub(super) fn is_cold(&self) -> bool {
        self.started.elapsed() < self.options.cold_time
    }

    /// Time for which the next request holds its slot.
    pub(super) fn service_time(&self) -> Duration {
        let age = self.started.elapsed().as_secs_f64();
        let cold_time = self.options.cold_time.as_secs_f64();
        let coldness = if age < cold_time { 1.0 - age / cold_time } else { 0.0 };
        let cold_factor = 1.0 + (self.options.cold_factor - 1.0) * coldness;
        self.options.service_time.mul_f64(cold_factor * self.faults().slow_factor)
    }

    /// Whether the next answer is cut, so that the share of cut answers is kept exactly.
    pub(super) fn cuts_answer(&self) -> bool {
        let ratio = self.faults().cut_ratio;
        let n = self.answers.fetch_add(1, Ordering::Relaxed) as f64;
        ((n + 1.0) * ratio).floor() > (n * ratio).floor()
    }

    /// Notes the present load for lagging reports.
    pub(super) fn record_load(&self) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.push_front(self.present.load(Ordering::Relaxed));
        history.truncate(HISTORY_LEN);
    }

    /// Load as the target reports it, truthful or not.
    pub(super) fn reported_load(&self) -> usize {
        let faults = self.faults();
        match faults.report {
            ReportMode::Idle => 0,
            ReportMode::Full => self.options.slots,
            ReportMode::Honest => {
                let steps = Duration::from_millis(faults.report_lag_ms).as_millis()
                    / HISTORY_STEP.as_millis();
                let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
                history.get(steps as usize).copied().unwrap_or_default()
            }
        }
    }
}

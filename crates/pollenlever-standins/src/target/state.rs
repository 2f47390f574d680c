use std::collections::VecDeque;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;

use super::{Faults, ReportMode, RunLog, TargetOptions};

/// Interval at which the load is sampled.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of load samples that are kept.
const MAX_LOAD_SAMPLES: usize = 100;

/// State that the request handlers and the reporter of a stand-in target share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: TargetOptions,
    pub(super) slots: Semaphore,
    /// Number of requests that run or wait for a slot.
    pub(super) in_flight: AtomicUsize,
    pub(super) leaving: AtomicBool,
    pub(super) log: RunLog,
    pub(super) client: reqwest::Client,
    answer_count: AtomicUsize,
    faults: Mutex<Faults>,
    load_samples: Mutex<VecDeque<usize>>,
    started: Instant,
}

impl State {
    pub(super) fn new(options: TargetOptions) -> io::Result<State> {
        Ok(State {
            slots: Semaphore::new(options.slots),
            in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            log: RunLog::open(options.log.as_deref())?,
            client: reqwest::Client::new(),
            answer_count: AtomicUsize::new(0),
            faults: Mutex::new(Faults::default()),
            load_samples: Mutex::new(VecDeque::new()),
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

    /// Time for which the next request occupies its slot, not counting its downstream calls.
    pub(super) fn service_time(&self) -> Duration {
        let age = self.started.elapsed().as_secs_f64();
        let cold_time = self.options.cold_time.as_secs_f64();
        let coldness = if age < cold_time { 1.0 - age / cold_time } else { 0.0 };
        let cold_factor = 1.0 + (self.options.cold_factor - 1.0) * coldness;
        self.options.service_time.mul_f64(cold_factor * self.faults().slow_factor)
    }

    /// Whether the next answer must be truncated; counts answers so that their share is exactly
    /// [`Faults::cut_ratio`].
    pub(super) fn should_truncate_next_answer(&self) -> bool {
        let ratio = self.faults().cut_ratio;
        let n = self.answer_count.fetch_add(1, Ordering::Relaxed) as f64;
        ((n + 1.0) * ratio).floor() > (n * ratio).floor()
    }

    /// Records a sample of the current load, from which delayed reports are made.
    pub(super) fn record_load(&self) {
        let mut load_samples = self.load_samples.lock().unwrap_or_else(PoisonError::into_inner);
        load_samples.push_front(self.in_flight.load(Ordering::Relaxed));
        load_samples.truncate(MAX_LOAD_SAMPLES);
    }

    /// Load that the target reports to its node, as altered by the faults.
    pub(super) fn reported_load(&self) -> usize {
        let faults = self.faults();
        match faults.report {
            ReportMode::Idle => 0,
            ReportMode::Full => self.options.slots,
            ReportMode::Honest => {
                let samples_ago = Duration::from_millis(faults.report_lag_ms).as_millis()
                    / LOAD_SAMPLE_INTERVAL.as_millis();
                let load_samples = self.load_samples.lock().unwrap_or_else(PoisonError::into_inner);
                load_samples.get(samples_ago as usize).copied().unwrap_or_default()
            }
        }
    }
}

use std::collections::BTreeMap;
use std::time::Duration;

use super::class::Class;
use crate::Timestamp;

/// Difference between the two compared concurrency levels, as a fraction of the slots.
const STEP_RATIO: f64 = 1.0 / 14.0;
/// Smallest limit, as a fraction of the slots.
const MIN_LIMIT_RATIO: f64 = 0.75;
/// Smallest number of slots at which levels are compared; with fewer, one slot less costs too much.
const MIN_SLOTS: u32 = 4;
/// Shortest phase: the time for which one concurrency level is kept during a comparison.
const MIN_PHASE: Duration = Duration::from_millis(100);
/// Shortest phase as a multiple of the mean service time.
const MIN_PHASE_SERVICE_TIMES: u32 = 3;
/// Number of phases after which a comparison ends without a result.
const MAX_PHASES: u32 = 40;
/// Number of phases over which the baseline service time of a class is averaged. It is short so
/// that a slowdown of the target for another reason affects both levels alike.
const BASELINE_PHASES: f64 = 2.0;
/// Largest weight of a run in the baseline service time of its class.
const MAX_WEIGHT: f64 = 0.1;
/// Number of phases after which levels are compared at first: one at each level, and a further one at the
/// high level in which the runs of the low one end.
const MIN_PHASES: u32 = 3;
/// Number of runs at each level that a comparison needs.
const MIN_RUNS: f64 = 30.0;
/// Number of standard errors by which throughput must be lower at the high level to count as lower.
const MIN_FALL_ERRORS: f64 = 2.0;
/// Relative standard error below which a comparison is precise enough to end, whatever its result.
const PRECISE_ERROR: f64 = 0.04;
/// First pause after a comparison that found no lower throughput; doubles each time.
const MIN_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause between comparisons.
const MAX_PAUSE: Duration = Duration::from_secs(32);

/// Learns whether the target slows down when nearly all its slots are busy, so that a lower
/// concurrency gives more throughput.
///
/// While the target is busy, two concurrency levels alternate: the limit and one step below it. By
/// Little's law, throughput is concurrency divided by service time. If it is lower at the higher
/// level, the limit falls by a step; after a pause it rises by a step again. The service time of a
/// run that calls other services includes waiting for them, so such runs must not be recorded.
#[derive(Debug, Default)]
pub(super) struct Saturation {
    slots: u32,
    limit: u32,
    high: LevelStats,
    low: LevelStats,
    baselines: BTreeMap<Class, Baseline>,
    mean_s: f64,
    phase_started: Timestamp,
    is_low_phase: bool,
    phase_count: u32,
    paused_until: Timestamp,
    pause: Duration,
}

/// Sums over the runs at one concurrency level. Times are multiples of the baseline service time of
/// the run's class.
#[derive(Debug, Default)]
struct LevelStats {
    runs: f64,
    total_concurrency: f64,
    total_time: f64,
    total_squared_time: f64,
}

#[derive(Debug)]
struct Baseline {
    mean_s: f64,
    updated: Timestamp,
}

/// Estimated throughput at one concurrency level.
struct Throughput {
    value: f64,
    /// Relative standard error.
    error: f64,
}

impl Saturation {
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            *self = Saturation { slots, limit: slots, pause: MIN_PAUSE, ..Saturation::default() };
        }
    }

    /// Concurrency above which no gain in throughput is known; one step lower during the low phases
    /// of a comparison.
    pub(super) fn get(&self) -> u32 {
        if self.is_low_phase { self.limit - self.step() } else { self.limit }
    }

    /// Records a run that made no calls. `concurrency` includes the run itself.
    pub(super) fn record_run(
        &mut self,
        now: Timestamp,
        class: Class,
        service_time: Duration,
        concurrency: u32,
    ) {
        if self.slots < MIN_SLOTS || service_time.is_zero() {
            return;
        }
        let relative = self.relative_service_time(now, class, service_time.as_secs_f64());
        let (limit, step) = (self.limit, self.step());
        let level = match concurrency {
            it if it > limit => return,
            it if it > limit - step => &mut self.high,
            it if it > limit.saturating_sub(3 * step) => &mut self.low,
            _ => return,
        };
        level.record_run(relative, concurrency);
        self.switch_phase(now);
    }

    /// Difference between the two compared concurrency levels.
    fn step(&self) -> u32 {
        (f64::from(self.slots) * STEP_RATIO).round().max(1.0) as u32
    }

    fn phase_duration(&self) -> Duration {
        MIN_PHASE.max(Duration::from_secs_f64(self.mean_s) * MIN_PHASE_SERVICE_TIMES)
    }

    /// Updates the baseline of the class and returns the service time as a multiple of it.
    fn relative_service_time(&mut self, now: Timestamp, class: Class, sample: f64) -> f64 {
        let phase_duration = self.phase_duration().as_secs_f64();
        let baseline =
            self.baselines.entry(class).or_insert(Baseline { mean_s: sample, updated: now });
        let gap = now.saturating_sub(baseline.updated).as_secs_f64();
        // The weight is capped: a class with rare runs is averaged over more time, so that no
        // single run dominates the baseline.
        let weight = (1.0 - (-gap / (BASELINE_PHASES * phase_duration)).exp()).min(MAX_WEIGHT);
        baseline.mean_s += weight * (sample - baseline.mean_s);
        baseline.updated = now;
        let relative = sample / baseline.mean_s;
        if self.mean_s == 0.0 {
            self.mean_s = sample;
        }
        self.mean_s += 0.02 * (sample - self.mean_s);
        relative
    }

    fn compare(&mut self, now: Timestamp) {
        if self.phase_count < MIN_PHASES {
            return;
        }
        let throughputs = self.high.throughput().zip(self.low.throughput());
        let gain = throughputs.as_ref().map_or(0.0, |(high, low)| (high.value / low.value).ln());
        let error = throughputs.map_or(f64::INFINITY, |(high, low)| high.error.hypot(low.error));
        let is_precise = error < PRECISE_ERROR;
        let has_fallen = gain < -MIN_FALL_ERRORS * error || (is_precise && gain < 0.0);
        if has_fallen && self.limit > self.min_limit() {
            self.limit = (self.limit - self.step()).max(self.min_limit());
            self.restart_comparison(now);
        } else if is_precise || self.phase_count >= MAX_PHASES {
            self.paused_until = now + self.pause;
            self.pause = (self.pause * 2).min(MAX_PAUSE);
            self.restart_comparison(now);
        }
    }

    /// Switches to the other concurrency level at the end of a phase, and ends a pause when it is
    /// over.
    fn switch_phase(&mut self, now: Timestamp) {
        if now < self.paused_until {
            return;
        }
        if !self.paused_until.is_zero() {
            self.paused_until = Timestamp::ZERO;
            self.limit = (self.limit + self.step()).min(self.slots);
            self.restart_comparison(now);
        }
        if now.saturating_sub(self.phase_started) < self.phase_duration() {
            return;
        }
        self.phase_started = now;
        self.is_low_phase = !self.is_low_phase;
        self.phase_count += 1;
        // Short runs of a phase end first. All runs of the last low phase have ended by now; long
        // runs of the high phase may be missing, which can only make the high level look faster.
        if self.is_low_phase {
            self.compare(now);
        }
    }

    fn restart_comparison(&mut self, now: Timestamp) {
        self.high = LevelStats::default();
        self.low = LevelStats::default();
        self.is_low_phase = false;
        self.phase_count = 0;
        self.phase_started = now;
    }

    fn min_limit(&self) -> u32 {
        (f64::from(self.slots) * MIN_LIMIT_RATIO).ceil() as u32
    }
}

impl LevelStats {
    fn record_run(&mut self, relative_time: f64, concurrency: u32) {
        self.runs += 1.0;
        self.total_concurrency += f64::from(concurrency);
        self.total_time += relative_time;
        self.total_squared_time += relative_time * relative_time;
    }

    fn throughput(&self) -> Option<Throughput> {
        if self.runs < MIN_RUNS {
            return None;
        }
        let mean = self.total_time / self.runs;
        let variance = (self.total_squared_time / self.runs - mean * mean).max(0.0);
        let error = (variance / self.runs).sqrt() / mean;
        Some(Throughput { value: self.total_concurrency / self.runs / mean, error })
    }
}

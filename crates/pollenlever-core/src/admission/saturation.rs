use std::collections::BTreeMap;
use std::time::Duration;

use super::class_limits::Class;
use crate::Timestamp;

/// Part of the slots by which the two compared numbers of runs differ.
const STEP_PART: f64 = 1.0 / 14.0;
/// Part of the slots below which the point is never put.
const MIN_PART: f64 = 0.75;
/// Fewest slots of which one can be spared for a comparison.
const MIN_SLOTS: u32 = 4;
/// Shortest time for which one number of runs is held during a comparison.
const MIN_PHASE: Duration = Duration::from_millis(100);
/// The same in mean service times.
const PHASE_SERVICE_TIMES: u32 = 3;
/// Phases after which a comparison ends undecided.
const MAX_PHASES: u32 = 40;
/// Phases over which the usual service time of a class is averaged. Short, so that a target that
/// slows down for another reason counts the same on both sides.
const USUAL_PHASES: f64 = 2.0;
/// Runs on each side that a comparison needs.
const MIN_RUNS: f64 = 30.0;
/// Standard errors by which throughput must have fallen before the comparison is clear.
const SURE: f64 = 2.0;
/// Relative standard error below which a comparison is clear.
const CLEAR: f64 = 0.04;
/// First rest after a comparison that found no fall; doubles each time.
const MIN_REST: Duration = Duration::from_secs(4);
/// Longest rest.
const MAX_REST: Duration = Duration::from_secs(32);

/// Learns whether the target slows down when nearly all its slots are busy, so that fewer runs at
/// once bring more throughput.
///
/// While the target is busy, two numbers of runs at once are held in turn. By Little's law
/// throughput is runs over service time; if it is lower with more runs, the point falls. After a
/// rest it is tried higher again. Service times say nothing about a target that waits for others,
/// so runs that make calls must not be sampled.
#[derive(Debug, Default)]
pub(super) struct Saturation {
    slots: u32,
    point: u32,
    more: Side,
    fewer: Side,
    usual: BTreeMap<Class, Usual>,
    mean: f64,
    phase_since: Timestamp,
    holds_fewer: bool,
    phases: u32,
    rests_until: Timestamp,
    rest: Duration,
}

/// Runs with about one number of runs at once.
#[derive(Debug, Default)]
struct Side {
    runs: f64,
    at_once: f64,
    time: f64,
    squared_time: f64,
}

#[derive(Debug)]
struct Usual {
    mean: f64,
    at: Timestamp,
}

/// What is known about the throughput of a side.
struct Throughput {
    value: f64,
    /// Relative standard error.
    error: f64,
}

impl Saturation {
    pub(super) fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            *self = Saturation { slots, point: slots, rest: MIN_REST, ..Saturation::default() };
        }
    }

    /// Runs at once from which more bring no more throughput, as far as is known; a little lower
    /// while that is compared.
    pub(super) fn get(&self) -> u32 {
        if self.holds_fewer { self.point - self.step() } else { self.point }
    }

    /// Takes the end of a run that made no calls. `at_once` counts the run itself.
    pub(super) fn sample(
        &mut self,
        now: Timestamp,
        class: Class,
        service_time: Duration,
        at_once: u32,
    ) {
        if self.slots < MIN_SLOTS || service_time.is_zero() {
            return;
        }
        let relative = self.relative(now, class, service_time.as_secs_f64());
        let (point, step) = (self.point, self.step());
        let side = match at_once {
            it if it > point => return,
            it if it > point - step => &mut self.more,
            it if it > point.saturating_sub(3 * step) => &mut self.fewer,
            _ => return,
        };
        side.add(relative, at_once);
        self.turn(now);
    }

    /// Number of runs by which the sides differ.
    fn step(&self) -> u32 {
        (f64::from(self.slots) * STEP_PART).round().max(1.0) as u32
    }

    fn phase(&self) -> Duration {
        MIN_PHASE.max(Duration::from_secs_f64(self.mean) * PHASE_SERVICE_TIMES)
    }

    /// Service time as a multiple of the usual one of its class.
    fn relative(&mut self, now: Timestamp, class: Class, sample: f64) -> f64 {
        let phase = self.phase().as_secs_f64();
        let usual = self.usual.entry(class).or_insert(Usual { mean: sample, at: now });
        let gap = now.saturating_sub(usual.at).as_secs_f64();
        // A class with few runs is averaged over more time, one run never counts for much.
        let weight = (1.0 - (-gap / (USUAL_PHASES * phase)).exp()).clamp(0.005, 0.1);
        usual.mean += weight * (sample - usual.mean);
        usual.at = now;
        let relative = sample / usual.mean;
        if self.mean == 0.0 {
            self.mean = sample;
        }
        self.mean += 0.02 * (sample - self.mean);
        relative
    }

    fn compare(&mut self, now: Timestamp) {
        let sides = self.more.throughput().zip(self.fewer.throughput());
        let gain = sides.as_ref().map_or(0.0, |(more, fewer)| (more.value / fewer.value).ln());
        let error = sides.map_or(f64::INFINITY, |(more, fewer)| more.error.hypot(fewer.error));
        let is_clear = error < CLEAR;
        let has_fallen = gain < -SURE * error || (is_clear && gain < 0.0);
        if has_fallen && self.point > self.floor() {
            self.point = (self.point - self.step()).max(self.floor());
            self.start_over(now);
        } else if is_clear || self.phases >= MAX_PHASES {
            self.rests_until = now + self.rest;
            self.rest = (self.rest * 2).min(MAX_REST);
            self.start_over(now);
        }
    }

    /// Holds the other number of runs once the present one was held for a phase.
    fn turn(&mut self, now: Timestamp) {
        if now < self.rests_until {
            return;
        }
        if !self.rests_until.is_zero() {
            self.rests_until = Timestamp::ZERO;
            self.point = (self.point + self.step()).min(self.slots);
            self.start_over(now);
        }
        if now.saturating_sub(self.phase_since) < self.phase() {
            return;
        }
        self.phase_since = now;
        self.holds_fewer = !self.holds_fewer;
        self.phases += 1;
        // Short runs of a phase end first. Now those with fewer at once have all ended, and what is
        // missing can only make the target look faster with more.
        if self.holds_fewer {
            self.compare(now);
        }
    }

    fn start_over(&mut self, now: Timestamp) {
        self.more = Side::default();
        self.fewer = Side::default();
        self.holds_fewer = false;
        self.phases = 0;
        self.phase_since = now;
    }

    fn floor(&self) -> u32 {
        (f64::from(self.slots) * MIN_PART).ceil() as u32
    }
}

impl Side {
    fn add(&mut self, time: f64, at_once: u32) {
        self.runs += 1.0;
        self.at_once += f64::from(at_once);
        self.time += time;
        self.squared_time += time * time;
    }

    fn throughput(&self) -> Option<Throughput> {
        if self.runs < MIN_RUNS {
            return None;
        }
        let mean = self.time / self.runs;
        let variance = (self.squared_time / self.runs - mean * mean).max(0.0);
        let error = (variance / self.runs).sqrt() / mean;
        Some(Throughput { value: self.at_once / self.runs / mean, error })
    }
}

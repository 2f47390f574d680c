use std::time::Duration;

use super::class_times::ClassTimes;
use super::round::Round;
use super::{EndedRun, PaceHistory, RoundSummary};
use crate::Timestamp;

/// Growth of the limit per round.
const GROWTH: f64 = 2.0;
/// The same after a slow round, until one at its concurrency is not.
const CAREFUL_GROWTH: f64 = 1.5;
/// Relative rise of own times that is near the earlier ones, for each doubling of the concurrency.
/// Throughput still grows with it.
const NEAR_RISE: f64 = 0.35;
/// Ratios of own times that always and never count as near.
const NEAR_RATIOS: (f64, f64) = (1.15, 1.35);
/// Number of standard errors by which times may exceed the near ones.
const NEAR_ERROR_MARGIN: f64 = 0.5;
/// Number of standard errors by which times have to exceed the near ones to lower the limit. In between
/// it is held.
const ERROR_MARGIN: f64 = 1.5;
/// The same for the first runs of a round to end.
const EARLY_ERROR_MARGIN: f64 = 2.0;
/// Number of runs below which only clearly slow ones count, so that few responses do not hold the limit.
const MIN_CLEAR_RUNS: usize = 4;
/// Factor by which the limit stays above the concurrency that the target used.
const HEADROOM: f64 = 1.1;
/// Part of the first limit below which slow responses alone do not lower it, as they may be due to
/// other work on the VM.
const MIN_SLOW_LIMIT: f64 = 0.5;
/// Longest wait until the runs above a lowered limit have ended, before responses are compared again.
const MAX_SETTLE: Duration = Duration::from_millis(500);
/// Time constant with which the references of own times rise. It is longer than usual disturbances by
/// other work on the VM, which must not become the reference.
const RISE_TIME: Duration = Duration::from_secs(2);
/// The same for times at a concurrency that seems too high. They count as well, as the references may be
/// too low.
const SLOW_RISE_TIME: Duration = Duration::from_secs(10);
/// The same if times have not become shorter at a lower concurrency, which shows that the references are
/// too low.
const WRONG_RISE_TIME: Duration = Duration::from_millis(100);
/// Share of the concurrency and of the times of a slow round below which those of the next one count as
/// lower.
const LOWER_SHARE: f64 = 0.9;
/// Excess of the concurrency over the limit from which it counts as too high.
const MAX_EXCESS: f64 = 1.1;
/// Factor by which the concurrency that counts as slow falls with each further slow round at a lower one.
const HELD_DECAY: f64 = 0.9;
/// Reported slowdown of the VM, in percent, from which the limit is not raised.
const MAX_SLOWDOWN_PERCENT: u32 = 125;
/// Pause after the first slow round before the limit is raised again; doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(125);
/// Longest pause. It is a part of the 2 s in which a target has to be in full use.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Part of the slots in use at which a near round ends the pace.
const FULL_USE: f64 = 0.75;
/// Time after which the pace ends if the limit is at the slots and times are near.
const MAX_TIME_AT_SLOTS: Duration = Duration::from_secs(1);
/// Time without need of more than half of the limit after which the pace ends.
const MAX_UNNEEDED: Duration = Duration::from_secs(5);
/// Time after the end of the pace for which a crash still counts as one of a started process.
const RECENT_TIME: Duration = Duration::from_secs(10);

/// Concurrency that a started or recovered target may be offered, from its own responses.
///
/// It exists once for each process of the target, at the gate (the node beside the target). It
/// compares the own times of runs with those of the same class at lower concurrency. What the target
/// reports about its VM can delay a raise but never cause one.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::pace::{PaceHistory, StartPace};
/// let mut pace = StartPace::new(Duration::ZERO, 36, &PaceHistory::default());
/// assert!(pace.is_in_force());
/// assert_eq!((pace.limit(), pace.share()), (9, 0.25));
/// pace.advance(Duration::from_secs(5));
/// assert_eq!((pace.limit(), pace.share()), (36, 1.0));
/// ```
#[derive(Debug, Clone)]
pub struct StartPace {
    slots: u32,
    limit: f64,
    first_limit: f64,
    /// Highest concurrency at which own times were near those at a lower one.
    reached: f64,
    /// Value of `reached` at the first slow round or rejection; `None` before it.
    first_held: Option<f64>,
    /// Concurrency of the last slow rounds.
    held_at: f64,
    growth: f64,
    pause: Duration,
    paused_until: Timestamp,
    /// Until when runs above the lowered limit are waited for.
    settles_until: Timestamp,
    /// Limit that must not be exceeded for some time, and until when.
    ceiling: Option<(f64, Timestamp)>,
    running: u32,
    /// When more than half of the limit was last in use.
    needed_at: Timestamp,
    /// When the limit was last below the slots.
    below_slots_at: Timestamp,
    ended_at: Option<Timestamp>,
    times: ClassTimes,
    round: Round,
    last_round: RoundSummary,
    /// Whether the last round was slow.
    was_slow: bool,
    /// Whether the last slow round lowered the limit to the concurrency used.
    was_lowered: bool,
}

impl StartPace {
    /// Begins the pace of a target that has started or recovered now.
    pub fn new(now: Timestamp, slots: u32, history: &PaceHistory) -> StartPace {
        let limit = history.start_limit(slots);
        let ceiling = history.ceiling().map(|(limit, time)| (limit, now + time));
        StartPace {
            slots,
            limit,
            first_limit: limit,
            reached: limit,
            first_held: None,
            held_at: 0.0,
            growth: GROWTH,
            pause: Duration::ZERO,
            paused_until: now,
            settles_until: now,
            ceiling,
            running: 0,
            needed_at: now,
            below_slots_at: now,
            ended_at: (limit >= f64::from(slots)).then_some(now),
            times: ClassTimes::default(),
            round: Round::new(now),
            last_round: RoundSummary::default(),
            was_slow: false,
            was_lowered: false,
        }
    }

    /// Sets the slots that the target declares.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots)).max(1.0);
    }

    /// Records the start of a run; `concurrency` is the number of concurrent runs with it.
    pub fn record_start(&mut self, now: Timestamp, concurrency: u32) {
        self.running = concurrency;
        self.round.record_start(now, self.limit);
        self.advance(now);
    }

    /// Records the end of a run and adapts the limit.
    pub fn record_run(&mut self, now: Timestamp, run: &EndedRun) {
        self.record_need(now);
        self.running = run.remaining;
        if self.is_in_force() {
            self.round.record_run(run, &self.times);
            self.advance(now);
        }
    }

    /// Ends the pace if it has not been needed for a while, and a round that is complete.
    pub fn advance(&mut self, now: Timestamp) {
        if !self.is_in_force() {
            return;
        }
        self.record_need(now);
        if now < self.settles_until && f64::from(self.running) > self.limit {
            self.round = Round::new(now);
        }
        if now.saturating_sub(self.needed_at) >= MAX_UNNEEDED {
            self.ended_at = Some(now);
        } else if self.round.is_rejected(self.limit) {
            self.halve(now);
        } else if self.round.is_complete(now, self.limit) || self.is_early_slow() {
            self.judge(now);
        }
    }

    /// Concurrency that the target may be offered, between 1 and its slots; the slots once the pace
    /// has ended.
    pub fn limit(&self) -> u32 {
        if self.is_in_force() { (self.limit as u32).max(1) } else { self.slots }
    }

    /// Whether the limit is in force.
    pub fn is_in_force(&self) -> bool {
        self.ended_at.is_none()
    }

    /// Limit as a share of the slots, above 0 and at most 1.
    pub fn share(&self) -> f64 {
        f64::from(self.limit()) / f64::from(self.slots.max(1))
    }

    /// What the last complete round has shown.
    pub fn last_round(&self) -> &RoundSummary {
        &self.last_round
    }

    /// Concurrency reached before the first slow round or rejection.
    pub(super) fn reached(&self) -> f64 {
        self.first_held.unwrap_or(self.reached)
    }

    /// Number of runs after the last recorded start or end.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Whether the pace is in force or has ended only lately.
    pub(super) fn is_recent(&self, now: Timestamp) -> bool {
        self.ended_at.is_none_or(|it| now.saturating_sub(it) < RECENT_TIME)
    }

    fn record_need(&mut self, now: Timestamp) {
        if f64::from(self.running) * 2.0 > self.limit {
            self.needed_at = now;
        }
    }

    fn halve(&mut self, now: Timestamp) {
        self.last_round = self.round.summary(&self.times);
        self.limit = (self.limit / 2.0).max(1.0);
        self.pause_growth(now);
        self.round = Round::new(now);
    }

    /// Whether the runs of the round that have ended are slow already. They are rather the short ones.
    fn is_early_slow(&self) -> bool {
        let round = self.round.summary(&self.times);
        let is_enough = round.runs >= MIN_CLEAR_RUNS;
        is_enough && self.is_slow(&round, EARLY_ERROR_MARGIN)
    }

    fn is_slow(&self, round: &RoundSummary, error_margin: f64) -> bool {
        round.time_ratio - error_margin * round.error > self.near_ratio(round)
    }

    /// Ratio of own times at which they are near those at a lower concurrency.
    fn near_ratio(&self, round: &RoundSummary) -> f64 {
        let known = self.times.concurrency().unwrap_or(round.concurrency);
        let ratio = 1.0 + NEAR_RISE * (round.concurrency / known - 1.0);
        ratio.clamp(NEAR_RATIOS.0, NEAR_RATIOS.1)
    }

    /// Compares the times of the round with those at a lower concurrency.
    fn judge(&mut self, now: Timestamp) {
        let round = self.round.summary(&self.times);
        let known = self.times.concurrency().unwrap_or(round.concurrency);
        let is_slow = self.is_slow(&round, ERROR_MARGIN);
        let is_near = !self.is_slow(&round, NEAR_ERROR_MARGIN) || round.runs < MIN_CLEAR_RUNS;
        let is_in_limit = round.concurrency <= MAX_EXCESS * self.limit;
        let is_reference = is_in_limit && (is_near || round.concurrency <= known);
        let rise_time = match is_reference {
            true => RISE_TIME,
            false if is_slow && self.has_lowering_not_helped(&round) => WRONG_RISE_TIME,
            false => SLOW_RISE_TIME,
        };
        self.round.add_to(now, &mut self.times, rise_time);
        self.last_round = round;
        self.was_slow = is_slow;
        self.round = Round::new(now);
        // More runs than the limit mean that no other target has room, and a lower limit moves nothing.
        if is_slow && is_in_limit {
            self.lower(now, &round);
        } else if !is_slow && is_near {
            self.raise(now, &round);
        }
    }

    /// Whether the round before was slow as well, and times have not become shorter since, although the
    /// concurrency has.
    fn has_lowering_not_helped(&self, round: &RoundSummary) -> bool {
        let last = &self.last_round;
        self.was_slow
            && round.concurrency < LOWER_SHARE * last.concurrency
            && round.time_ratio > LOWER_SHARE * last.time_ratio
    }

    /// Falls back to the concurrency that the target used, by Little's law. Every second time it falls to
    /// half instead, so that times at a lower concurrency show whether the references are too high.
    fn lower(&mut self, now: Timestamp, round: &RoundSummary) {
        let used = HEADROOM * round.concurrency / round.time_ratio;
        let half = self.limit / 2.0;
        let min = (self.first_limit * MIN_SLOW_LIMIT).max(1.0);
        let lowered = if self.was_lowered { half } else { used.max(half) };
        self.limit = self.limit.min(lowered.max(min));
        self.was_lowered = !self.was_lowered;
        self.held_at = round.concurrency.max(HELD_DECAY * self.held_at);
        self.pause_growth(now);
    }

    fn raise(&mut self, now: Timestamp, round: &RoundSummary) {
        let slots = f64::from(self.slots);
        if self.limit < slots {
            self.below_slots_at = now;
        } else if round.concurrency >= FULL_USE * slots
            || now.saturating_sub(self.below_slots_at) >= MAX_TIME_AT_SLOTS
        {
            self.ended_at = Some(now);
            return;
        }
        let reached = f64::from(round.peak).min(self.limit);
        self.reached = self.reached.max(reached);
        if round.concurrency > self.held_at {
            self.growth = GROWTH;
            self.pause = Duration::ZERO;
        }
        if now < self.paused_until || round.slowdown_percent > MAX_SLOWDOWN_PERCENT {
            return;
        }
        let ceiling = self.ceiling.filter(|(_, until)| now < *until);
        let max = ceiling.map_or(slots, |(ceiling, _)| ceiling.min(slots));
        self.limit = (reached * self.growth).min(max).max(self.limit);
    }

    fn pause_growth(&mut self, now: Timestamp) {
        self.first_held.get_or_insert(self.reached);
        self.growth = CAREFUL_GROWTH;
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused_until = now + self.pause;
        self.settles_until = now + MAX_SETTLE;
    }
}

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;

/// Parts into which a window is divided.
pub(super) const PARTS: usize = 20;
/// Parts that are remembered: two windows and the part that has begun.
const REMEMBERED: u64 = 2 * PARTS as u64 + 1;

/// Sums over parts of a window, for the last two windows.
#[derive(Debug)]
pub(super) struct RecentCounts {
    part: Duration,
    /// Number and sum of each part that is not empty, in order.
    sums: VecDeque<(u64, f64)>,
}

impl RecentCounts {
    pub(super) fn new(window: Duration) -> RecentCounts {
        let part = (window / PARTS as u32).max(Duration::from_millis(1));
        RecentCounts { part, sums: VecDeque::new() }
    }

    pub(super) fn add(&mut self, now: Timestamp, amount: f64) {
        let part = self.number(now);
        while self.sums.front().is_some_and(|(at, _)| at + REMEMBERED < part) {
            self.sums.pop_front();
        }
        match self.sums.back_mut() {
            Some((at, sum)) if *at >= part => *sum += amount,
            _ => self.sums.push_back((part, amount)),
        }
    }

    /// Sum since `parts` parts ago, the part that has begun included.
    pub(super) fn since(&self, now: Timestamp, parts: usize) -> f64 {
        self.between(now, parts, 0)
    }

    /// Sum from `from` parts ago until before `until` parts ago; with `until` 0 until now.
    pub(super) fn between(&self, now: Timestamp, from: usize, until: usize) -> f64 {
        let present = self.number(now);
        let first = present.saturating_sub(from as u64);
        let end = if until == 0 { u64::MAX } else { present.saturating_sub(until as u64) };
        let within = self.sums.iter().rev().take_while(|(at, _)| *at >= first);
        within.filter(|(at, _)| *at < end).map(|(_, sum)| sum).sum()
    }

    fn number(&self, now: Timestamp) -> u64 {
        (now.as_nanos() / self.part.as_nanos()) as u64
    }
}

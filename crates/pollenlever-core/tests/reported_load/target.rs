use std::time::Duration;

use pollenlever_core::message::GateLoad;

use super::fleet::{Micros, NOISE, NOISE_FACTOR};

/// A simulated target, which runs requests in order of arrival.
pub(crate) struct Target {
    /// Speed without noise, relative to a target on which work takes its nominal time.
    pub(crate) speed: f64,
    noise: Vec<Duration>,
    /// Work in ms that one slot has done by the end of each ms.
    done_ms: Vec<f64>,
    /// Time at which each slot becomes free.
    free: Vec<Micros>,
    /// Start and end of runs that have not ended.
    runs: Vec<(Micros, Micros)>,
}

impl Target {
    pub(crate) const SLOTS: usize = 8;

    pub(crate) fn new(speed: f64, noise: Vec<Duration>, lasts: Duration) -> Target {
        let (free, runs) = (vec![0; Target::SLOTS], Vec::new());
        let mut target = Target { speed, noise, done_ms: vec![0.0], free, runs };
        let mut done = 0.0;
        for ms in 0..lasts.as_millis() as u64 {
            done += speed / target.slowdown(ms * 1000);
            target.done_ms.push(done);
        }
        target
    }

    /// Factor by which work takes longer than usual.
    pub(crate) fn slowdown(&self, now: Micros) -> f64 {
        if self.time_since_noise(now).is_some_and(|it| it < NOISE) { NOISE_FACTOR } else { 1.0 }
    }

    /// Time since the last start of noise.
    pub(crate) fn time_since_noise(&self, now: Micros) -> Option<Duration> {
        let now = Duration::from_micros(now);
        let started = self.noise.partition_point(|it| *it <= now);
        Some(now - *self.noise.get(started.checked_sub(1)?)?)
    }

    /// End of a run of `work_ms` that arrives at `now`.
    pub(crate) fn end(&self, now: Micros, work_ms: f64) -> Micros {
        let start = self.next_free().max(now);
        let ms = (start / 1000) as usize;
        let Some(done) = self.done_ms.get(ms) else { return start + (work_ms * 1000.0) as u64 };
        let within = (start % 1000) as f64 / 1000.0 * self.speed / self.slowdown(start);
        let goal = done + within + work_ms;
        let last = self.done_ms.partition_point(|it| *it <= goal).saturating_sub(1);
        let rest_ms = (goal - self.done_ms[last]) * self.slowdown(last as u64 * 1000) / self.speed;
        (last * 1000) as u64 + (rest_ms * 1000.0) as u64
    }

    /// Queues or starts a run that arrives at `now`; returns its end.
    pub(crate) fn start(&mut self, now: Micros, work_ms: f64) -> Micros {
        let (start, end) = (self.next_free().max(now), self.end(now, work_ms));
        let slot = self.free.iter_mut().min().expect("there are slots");
        *slot = end;
        self.runs.push((start, end));
        end
    }

    /// Load as the gate reports it, with the slowdown that the target reports.
    pub(crate) fn load(&mut self, now: Micros, slowdown_percent: u16) -> GateLoad {
        self.runs.retain(|(_, end)| *end > now);
        let in_flight = self.runs.iter().filter(|(start, _)| *start <= now).count() as u32;
        let queued = self.runs.len() as u32 - in_flight;
        let limit = Target::SLOTS as u32;
        GateLoad { in_flight, queued, limit, slowdown_percent, ..GateLoad::default() }
    }

    fn next_free(&self) -> Micros {
        self.free.iter().copied().min().unwrap_or_default()
    }
}

use std::collections::VecDeque;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::admission::RunOutcome;
use pollenlever_core::config::Importance;
use pollenlever_core::mesh::RequestClass;
use pollenlever_core::pace::{EndedRun, OVERFLOW_WAIT, PaceHistory, StartPace};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::secs;

const STEP: Duration = Duration::from_millis(4);
pub(super) const SLOTS: u32 = 36;
/// Mean service time of a warm target in seconds; single ones differ by half of it.
const MEAN_TIME_S: f64 = 0.1;
/// Latency objective of all requests.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Longest wait at a gate, after which a request is refused.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Number of gates that refuse a request before its caller is told.
const MAX_REFUSALS: u32 = 2;
/// Time between a crash and the start of the next process.
const RESTART: Duration = Duration::from_millis(500);

/// How a fake target behaves until it is warm, that is `time` after the start of its process.
#[derive(Clone, Copy)]
pub(super) struct Cold {
    pub(super) time: f64,
    /// Speed of a single run; 1 is that of a warm target.
    pub(super) speed: f64,
    /// Number of runs that are not slowed by each other.
    pub(super) capacity: u32,
    /// Concurrency above which its process crashes.
    pub(super) crashes_above: u32,
    /// Time from the start after which its process crashes, if that is before this time of the test.
    pub(super) flaps: (f64, f64),
}

pub(super) const WARM: Cold =
    Cold { time: 0.0, speed: 1.0, capacity: SLOTS, crashes_above: SLOTS, flaps: (0.0, 0.0) };

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Mode {
    Paced,
    Unpaced,
    LeftOut,
}

struct Job {
    arrived: Timestamp,
    left_s: f64,
    run: EndedRun,
}

/// A request at a gate.
#[derive(Clone, Copy)]
struct Waiting {
    arrived: Timestamp,
    queued: Timestamp,
    refusals: u32,
}

struct FakeTarget {
    cold: Cold,
    started: Timestamp,
    history: PaceHistory,
    pace: Option<StartPace>,
    queue: VecDeque<Waiting>,
    jobs: Vec<Job>,
    crashes: u32,
}

/// Targets of one service and the requests that are sent to them.
pub(super) struct Fleet {
    now: Timestamp,
    rng: SmallRng,
    targets: Vec<FakeTarget>,
    established: usize,
    pub(super) on_time: u32,
    pub(super) late: u32,
    /// Time from when all new targets were warm for good until they ran as many requests as the
    /// established ones do on average.
    pub(super) full_use: Option<Duration>,
}

impl Fleet {
    pub(super) fn new(established: usize, new: usize, cold: Cold, mode: Mode, seed: u64) -> Fleet {
        let new = if mode == Mode::LeftOut { 0 } else { new };
        let target = |index| FakeTarget {
            cold: if index < established { WARM } else { cold },
            started: Duration::ZERO,
            history: PaceHistory::default(),
            pace: (index >= established && mode == Mode::Paced)
                .then(|| StartPace::new(Duration::ZERO, SLOTS, &PaceHistory::default())),
            queue: VecDeque::new(),
            jobs: Vec::new(),
            crashes: 0,
        };
        let targets = (0..established + new).map(target).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let now = Duration::ZERO;
        Fleet { now, rng, targets, established, on_time: 0, late: 0, full_use: None }
    }

    /// Sends `load` requests until a time, as a multiple of what 40 warm targets can do.
    pub(super) fn run(&mut self, load: f64, until: Timestamp) {
        let per_step = load * 40.0 * f64::from(SLOTS) / MEAN_TIME_S * STEP.as_secs_f64();
        while self.now < until {
            self.now += STEP;
            let count = per_step as u32 + u32::from(self.rng.random_bool(per_step.fract()));
            (0..count).for_each(|_| self.send(self.now, 0));
            for index in 0..self.targets.len() {
                let (ended, lost) = self.targets[index].step(self.now, &mut self.rng);
                for arrived in ended {
                    let is_late = self.now - arrived > OBJECTIVE;
                    *(if is_late { &mut self.late } else { &mut self.on_time }) += 1;
                }
                for (arrived, refusals) in lost {
                    match refusals {
                        MAX_REFUSALS => self.late += 1,
                        _ => self.send(arrived, refusals),
                    }
                }
            }
            self.note_full_use();
        }
        let open = self.targets.iter().flat_map(|it| it.jobs.iter().map(|it| it.arrived));
        let waiting = self.targets.iter().flat_map(|it| it.queue.iter().map(|it| it.arrived));
        self.late += open.chain(waiting).filter(|it| self.now - *it > OBJECTIVE).count() as u32;
    }

    /// Number of crashes of all targets.
    pub(super) fn crashes(&self) -> u32 {
        self.targets.iter().map(|it| it.crashes).sum()
    }

    /// Sends a request to the better of two random targets, by the load relative to their limits. A
    /// paced target takes part in a share of the choices.
    fn send(&mut self, arrived: Timestamp, refusals: u32) {
        let mut pick = || loop {
            let it = self.rng.random_range(0..self.targets.len());
            if self.rng.random_bool(self.targets[it].share()) {
                return it;
            }
        };
        let (a, b) = (pick(), pick());
        let load = |it: usize| self.targets[it].load(self.now);
        let best = if load(b) < load(a) { b } else { a };
        self.targets[best].queue.push_back(Waiting { arrived, queued: self.now, refusals });
    }

    fn note_full_use(&mut self) {
        let (old, new) = self.targets.split_at(self.established);
        let mean = |it: &[FakeTarget]| {
            it.iter().map(|it| it.jobs.len()).sum::<usize>() as f64 / it.len().max(1) as f64
        };
        let full = if old.is_empty() { f64::from(SLOTS) } else { mean(old) };
        let warm_at = new.iter().map(FakeTarget::stays_warm_from).max().unwrap_or_default();
        if self.now > warm_at && mean(new) > 0.9 * full {
            self.full_use.get_or_insert(self.now - warm_at);
        } else if self.now <= warm_at {
            self.full_use = None;
        }
    }
}

impl FakeTarget {
    fn limit(&self) -> f64 {
        f64::from(self.pace.as_ref().map_or(SLOTS, |it| it.limit()))
    }

    /// When it is warm, and does not crash any more.
    fn stays_warm_from(&self) -> Timestamp {
        let (age, until) = self.cold.flaps;
        let will_crash = self.started + secs(age) < secs(until);
        if will_crash { Duration::MAX } else { self.started + secs(self.cold.time) }
    }

    fn share(&self) -> f64 {
        self.pace.as_ref().map_or(1.0, StartPace::share)
    }

    fn load(&self, now: Timestamp) -> f64 {
        let is_down = now < self.started;
        let load = (self.jobs.len() + self.queue.len()) as f64 / self.limit();
        if is_down { f64::INFINITY } else { load }
    }

    /// Starts, advances and ends runs. Returns the arrivals of ended and of lost requests, with the
    /// refusals of these.
    fn step(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> (Vec<Timestamp>, Vec<(Timestamp, u32)>) {
        if now < self.started {
            return (Vec::new(), self.queue.drain(..).map(|it| (it.arrived, 0)).collect());
        }
        let mut lost = Vec::new();
        while self.queue.front().is_some_and(|it| now - it.queued >= MAX_WAIT) {
            let Some(it) = self.queue.pop_front() else { break };
            lost.push((it.arrived, it.refusals + 1));
        }
        let age = now - self.started;
        let cold = if age < secs(self.cold.time) { self.cold } else { WARM };
        while let Some(Waiting { arrived, queued, .. }) = self.queue.front().copied() {
            let running = self.jobs.len() as u32;
            let may_overflow = now - queued >= OVERFLOW_WAIT;
            if running >= SLOTS || (f64::from(running) >= self.limit() && !may_overflow) {
                break;
            }
            self.queue.pop_front();
            let left_s = MEAN_TIME_S * rng.random_range(0.5..1.5);
            self.jobs.push(Job { arrived, left_s, run: started_run(now, running + 1) });
            if let Some(pace) = &mut self.pace {
                pace.record_start(now, running + 1);
            }
        }
        let flaps = now < secs(self.cold.flaps.1) && age >= secs(self.cold.flaps.0);
        if flaps || self.jobs.len() as u32 > cold.crashes_above {
            lost.extend(self.crash(now));
            return (Vec::new(), lost);
        }
        let shared = f64::from(cold.capacity) / self.jobs.len().max(1) as f64;
        let progress = STEP.as_secs_f64() * cold.speed * shared.min(1.0);
        self.jobs.iter_mut().for_each(|it| it.left_s -= progress);
        let (ended, jobs): (Vec<Job>, Vec<Job>) =
            std::mem::take(&mut self.jobs).into_iter().partition(|it| it.left_s <= 0.0);
        self.jobs = jobs;
        let remaining = self.jobs.len() as u32;
        for job in &ended {
            let own_time = now - job.run.started;
            if let Some(pace) = &mut self.pace {
                pace.record_run(now, &EndedRun { own_time, remaining, ..job.run });
            }
        }
        (ended.into_iter().map(|it| it.arrived).collect(), lost)
    }

    fn crash(&mut self, now: Timestamp) -> Vec<(Timestamp, u32)> {
        self.started = now + RESTART;
        self.crashes += 1;
        if let Some(pace) = &mut self.pace {
            self.history.record_end(now, pace, true);
            *pace = StartPace::new(self.started, SLOTS, &self.history);
        }
        let running = self.jobs.drain(..).map(|it| (it.arrived, 0));
        running.chain(self.queue.drain(..).map(|it| (it.arrived, 0))).collect()
    }
}

/// A run that starts now, with the fields that are known then.
pub(super) fn started_run(now: Timestamp, concurrency: u32) -> EndedRun {
    EndedRun {
        class: RequestClass { importance: Importance::Normal, depth: 0 },
        started: now,
        own_time: Duration::ZERO,
        outcome: RunOutcome::Answered,
        concurrency,
        remaining: concurrency - 1,
        slowdown_percent: None,
    }
}

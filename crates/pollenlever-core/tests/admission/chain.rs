use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::admission::{BoxAdmission, RunOutcome, Ticket, Verdict};
use pollenlever_core::config::Importance;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{chain_id, ms};

/// One gate and its target, which works for `work` and then calls the next gate.
pub(super) struct Stage {
    pub(super) gate: BoxAdmission,
    pub(super) slots: u32,
    pub(super) work: Duration,
}

/// Result of a run: chains offered and answered in time, and slot time by whether it was useful.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Report {
    pub(super) offered: BTreeMap<Importance, u32>,
    pub(super) good: BTreeMap<Importance, u32>,
    pub(super) useful_slot_time: Duration,
    pub(super) wasted_slot_time: Duration,
}

impl Report {
    pub(super) fn goodput(&self) -> u32 {
        self.good.values().sum()
    }

    pub(super) fn wasted_ratio(&self) -> f64 {
        self.wasted_slot_time.as_secs_f64()
            / (self.useful_slot_time + self.wasted_slot_time).as_secs_f64()
    }
}

/// Simulated gates in a row. Each call occupies its slot until the calls that it makes have ended.
pub(super) struct Chain {
    stages: Vec<Stage>,
    now: Timestamp,
    events: BTreeMap<(Timestamp, u64), (u64, usize)>,
    next_event: u64,
    tickets: HashMap<u64, Ticket>,
    started: HashMap<(u64, usize), Timestamp>,
    slot_time: HashMap<u64, Duration>,
    report: Report,
}

impl Chain {
    pub(super) fn new(mut stages: Vec<Stage>) -> Chain {
        for stage in &mut stages {
            stage.gate.set_slots(Duration::ZERO, stage.slots);
        }
        Chain {
            stages,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            tickets: HashMap::new(),
            started: HashMap::new(),
            slot_time: HashMap::new(),
            report: Report::default(),
        }
    }

    /// Offers `rate` chains per second for `secs` seconds, then runs 5 seconds more to let them
    /// end.
    pub(super) fn run(mut self, seed: u64, rate: f64, secs: u64) -> Report {
        let mut rng = SmallRng::seed_from_u64(seed);
        let end = Duration::from_secs(secs);
        let mut id = 0;
        let mut arrival = Duration::ZERO;
        while self.now < end + ms(5000) {
            if self.now >= arrival && arrival < end {
                id += 1;
                self.arrive(id, &mut rng);
                arrival += Duration::from_secs_f64(-rng.random::<f64>().ln() / rate);
                continue;
            }
            self.advance();
            self.now += ms(1);
        }
        self.report
    }

    fn arrive(&mut self, id: u64, rng: &mut SmallRng) {
        let importance = match rng.random_range(0..10) {
            0 => Importance::Critical,
            1..4 => Importance::High,
            4..8 => Importance::Normal,
            _ => Importance::Sheddable,
        };
        let ticket = Ticket {
            id,
            service: "chain".into(),
            importance,
            chain: chain_id(id),
            depth: 0,
            workspace: format!("workspace-{}", rng.random_range(0..4)).into(),
            deadline: self.now + ms(1000),
        };
        *self.report.offered.entry(importance).or_default() += 1;
        self.tickets.insert(id, ticket);
        self.offer(id, 0);
    }

    fn offer(&mut self, id: u64, depth: usize) {
        let ticket = Ticket { depth: depth as u8, ..self.tickets[&id].clone() };
        let mut verdicts = Vec::new();
        self.stages[depth].gate.offer(self.now, ticket, &mut verdicts);
        self.apply(depth, verdicts);
    }

    fn apply(&mut self, depth: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Run(id) => {
                    self.started.insert((id, depth), self.now);
                    self.next_event += 1;
                    let end = self.now + self.stages[depth].work;
                    self.events.insert((end, self.next_event), (id, depth));
                }
                Verdict::Shed { id, .. } => self.end(id, depth, RunOutcome::ShedByTarget),
            }
        }
    }

    fn advance(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 <= self.now) {
            let (id, depth) = entry.remove();
            if depth + 1 < self.stages.len() {
                self.offer(id, depth + 1);
            } else {
                self.end(id, depth + 1, RunOutcome::Answered);
            }
        }
        for depth in 0..self.stages.len() {
            let mut verdicts = Vec::new();
            self.stages[depth].gate.tick(self.now, &mut verdicts);
            self.apply(depth, verdicts);
        }
    }

    /// Ends a chain whose call at `depth` has ended, and frees the slots above it.
    fn end(&mut self, id: u64, depth: usize, outcome: RunOutcome) {
        for depth in (0..depth).rev() {
            let Some(started) = self.started.remove(&(id, depth)) else { continue };
            let time = self.now - started;
            *self.slot_time.entry(id).or_default() += time;
            let mut verdicts = Vec::new();
            self.stages[depth].gate.record_finished(self.now, id, time, outcome, &mut verdicts);
            self.apply(depth, verdicts);
        }
        let ticket = &self.tickets[&id];
        let slot_time = self.slot_time.remove(&id).unwrap_or_default();
        if outcome == RunOutcome::Answered && self.now <= ticket.deadline {
            *self.report.good.entry(ticket.importance).or_default() += 1;
            self.report.useful_slot_time += slot_time;
        } else {
            self.report.wasted_slot_time += slot_time;
        }
    }
}

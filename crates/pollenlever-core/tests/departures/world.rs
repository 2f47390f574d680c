use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{DepartedTarget, KeptDepartures, TargetReport};
use rand::rngs::StdRng;
use rand::seq::{IndexedMutRandom, IndexedRandom};
use rand::{Rng, SeedableRng};

use crate::process::{Design, Process};
use crate::store::Store;

/// Other nodes, which keep departures.
const OTHERS: u16 = 3;
/// Steps of a history.
const STEPS: usize = 60;
/// Time of one step and of one round, in milliseconds.
const ROUND: Duration = Duration::from_millis(100);
/// Rounds after which everything that can be passed on has been.
const SETTLING_ROUNDS: usize = 20;

/// Which failures a history draws.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Faults {
    /// The store refuses the node.
    pub(crate) refusals: bool,
    /// The store comes back from an older copy.
    pub(crate) drills: bool,
    /// Between two settled states one other node restarts, or one message between nodes is lost.
    pub(crate) peers: bool,
}

/// Another node.
#[derive(Debug)]
struct Other {
    node: NodeId,
    kept: KeptDepartures,
    /// What it has to tell the process that it knows.
    recalled: Vec<DepartedTarget>,
}

/// The processes of the target beside the node, one after the other.
#[derive(Debug, Default)]
struct Target {
    started: u64,
    sequence: u64,
    is_leaving: bool,
    is_confirmed: bool,
}

/// One history of a departure.
#[derive(Debug)]
pub(crate) struct World {
    rng: StdRng,
    design: Design,
    faults: Faults,
    now: Timestamp,
    store: Store,
    process: Process,
    others: Vec<Other>,
    target: Target,
    /// Every report that a target has sent; each may come late or again.
    reports: Vec<TargetReport>,
    /// Requests to keep a departure that are still on their way.
    delayed: Vec<(NodeId, usize, DepartedTarget)>,
    peer_faults_left: usize,
    /// When other nodes were last asked to keep a departure.
    asked_at: Timestamp,
    /// What was drawn, for a report of a failure.
    pub(crate) log: Vec<String>,
}

fn node(port: u16, incarnation: u64) -> NodeId {
    NodeId { addr: ([127, 0, 0, 1], 7100 + port).into(), incarnation }
}

impl World {
    pub(crate) fn new(seed: u64, design: Design, faults: Faults) -> World {
        let other = |port| Other {
            node: node(port, 1),
            kept: KeptDepartures::default(),
            recalled: Vec::new(),
        };
        World {
            rng: StdRng::seed_from_u64(seed),
            design,
            faults,
            now: Duration::from_secs(10),
            store: Store::default(),
            process: Process::start(design, node(0, 1), Duration::from_secs(10), 0),
            others: (1..=OTHERS).map(other).collect(),
            target: Target { started: 1, ..Target::default() },
            reports: Vec::new(),
            delayed: Vec::new(),
            peer_faults_left: 1,
            asked_at: Duration::ZERO,
            log: Vec::new(),
        }
    }

    /// Plays the history.
    ///
    /// # Errors
    ///
    /// The guarantee that was broken.
    pub(crate) fn play(&mut self) -> Result<(), &'static str> {
        for _ in 0..STEPS {
            self.step();
            if self.design == Design::Present || self.design == Design::ReportsBeforeRecall {
                self.check_out_of_use()?;
            }
            if self.rng.random_ratio(1, 10) {
                self.settle();
                self.check()?;
            }
        }
        self.settle();
        self.check()
    }

    fn step(&mut self) {
        self.now += ROUND / 2;
        let step = self.rng.random_range(0..19);
        self.log.push(format!("{:?} step {step}", self.now));
        match step {
            0 | 1 => self.send_report(),
            2 => self.send_late_report(),
            3 | 4 => self.leave(),
            5 | 6 => self.call_store(true),
            7 | 8 => self.deliver_delayed(),
            9 => self.join(),
            10 => self.recall(),
            11 => self.restart_node(),
            12 => self.restart_other(),
            13 => self.store.refuses = self.faults.refusals && self.rng.random(),
            14 => self.store.take_copy(),
            15 if self.faults.drills => self.store.restore(),
            17 | 18 => self.ask_for_kept(true),
            16 if self.target.is_confirmed && self.rng.random_ratio(1, 4) => self.replace_target(),
            _ => {}
        }
        if self.now >= self.asked_at + ROUND {
            self.asked_at = self.now;
            self.ask_keepers(true);
        }
        self.confirm();
    }

    fn report(&self) -> TargetReport {
        TargetReport {
            instance: "i-1".into(),
            started: self.target.started,
            sequence: self.target.sequence,
            service: "saldo".into(),
            slots: 4,
            is_draining: self.target.is_leaving,
            cold_remaining: Duration::ZERO,
        }
    }

    /// The target reports, until it was told that its departure is known.
    fn send_report(&mut self) {
        if self.target.is_confirmed {
            return;
        }
        self.target.sequence += 1;
        let report = self.report();
        self.reports.push(report.clone());
        self.report_to_process(report);
    }

    fn report_to_process(&mut self, report: TargetReport) {
        let nodes = self.nodes();
        self.process.report(self.now, report, &nodes);
    }

    fn send_late_report(&mut self) {
        if let Some(report) = self.reports.choose(&mut self.rng).cloned() {
            self.report_to_process(report);
        }
    }

    fn leave(&mut self) {
        self.target.is_leaving = true;
        self.send_report();
    }

    fn replace_target(&mut self) {
        self.target = Target { started: self.target.started + 1, ..Target::default() };
    }

    fn call_store(&mut self, may_lose: bool) {
        let is_lost = may_lose && self.rng.random_ratio(1, 4);
        self.process.learn_era(if self.rng.random() { self.store.era } else { 0 });
        self.process.call_store(&mut self.store, is_lost);
    }

    fn nodes(&self) -> Vec<NodeId> {
        self.others.iter().map(|it| it.node).collect()
    }

    /// Takes a fault of the other nodes, if one is left and drawn.
    fn draws_peer_fault(&mut self) -> bool {
        let is_drawn =
            self.faults.peers && self.peer_faults_left > 0 && self.rng.random_ratio(1, 3);
        self.peer_faults_left -= usize::from(is_drawn);
        is_drawn
    }

    fn ask_keepers(&mut self, may_fail: bool) {
        let nodes = self.nodes();
        let Some((departed, asked)) = self.process.keep_requests(self.now, &nodes) else { return };
        for keeper in asked {
            let at = nodes.iter().position(|it| *it == keeper).unwrap();
            let from = self.process.node;
            if may_fail && self.draws_peer_fault() {
                self.delayed.push((from, at, departed.clone()));
                continue;
            }
            if self.others[at].kept.keep(from, departed.clone()) {
                self.process.record_keeper(&departed, keeper);
            }
        }
    }

    fn deliver_delayed(&mut self) {
        if let Some((from, at, departed)) = self.delayed.pop() {
            self.others[at].kept.keep(from, departed);
        }
    }

    /// Other nodes learn of the present process, and it of them.
    fn join(&mut self) {
        self.process.join();
        for other in &mut self.others {
            other.recalled.extend(other.kept.begin_recall(self.process.node));
        }
    }

    fn recall(&mut self) {
        for other in &mut self.others {
            for departed in other.recalled.drain(..) {
                self.process.registry.handle_past_departure(departed);
            }
        }
    }

    /// The started process asks the other nodes what they keep for it.
    fn ask_for_kept(&mut self, may_fail: bool) {
        let nodes = self.nodes();
        let addr = self.process.node.addr;
        for asked in self.process.recall_requests(self.now, &nodes) {
            if may_fail && self.draws_peer_fault() {
                continue;
            }
            let at = nodes.iter().position(|it| *it == asked).unwrap();
            self.process.take_kept(asked, self.others[at].kept.kept_for(addr));
        }
    }

    fn restart_node(&mut self) {
        let node = node(0, self.process.node.incarnation + 1);
        self.process = Process::start(self.design, node, self.now, self.store.era);
        for other in &mut self.others {
            other.recalled.clear();
        }
    }

    fn restart_other(&mut self) {
        if !self.draws_peer_fault() {
            return;
        }
        let other = self.others.choose_mut(&mut self.rng).unwrap();
        let node = NodeId { incarnation: other.node.incarnation + 1, ..other.node };
        *other = Other { node, kept: KeptDepartures::default(), recalled: Vec::new() };
    }

    fn confirm(&mut self) {
        let nodes = self.nodes();
        if let Some(departed) = self.process.confirm(self.now, &nodes) {
            let is_present = departed.started == self.target.started;
            self.target.is_confirmed |= is_present && self.target.is_leaving;
        }
    }

    /// Lets everything be passed on that can be; the store goes on refusing the node if it does.
    fn settle(&mut self) {
        self.log.push(format!("{:?} settle", self.now));
        for _ in 0..SETTLING_ROUNDS {
            self.now += ROUND;
            self.process.learn_era(self.store.era);
            self.process.call_store(&mut self.store, false);
            self.join();
            self.recall();
            self.ask_for_kept(false);
            self.ask_keepers(false);
            self.confirm();
        }
        self.peer_faults_left = 1;
    }

    /// A target whose departure was confirmed is out of use, also while nodes start.
    fn check_out_of_use(&self) -> Result<(), &'static str> {
        let serving = self.process.registry.serving().map(|it| it.started);
        if self.target.is_confirmed && serving == Some(self.target.started) {
            return Err("a target is in use whose departure was confirmed");
        }
        Ok(())
    }

    /// Late reports never bring back a target whose departure was confirmed, and one that has not left is
    /// served.
    fn check(&mut self) -> Result<(), &'static str> {
        for report in self.reports.clone().into_iter().filter(|it| !it.is_draining) {
            self.report_to_process(report);
            self.check_out_of_use()?;
        }
        if !self.target.is_leaving {
            self.send_report();
            let serving = self.process.registry.serving().map(|it| it.started);
            if serving != Some(self.target.started) {
                return Err("a target that has not left is not in use");
            }
        }
        Ok(())
    }
}

mod checks;
mod event;
mod traffic;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::{NodeId, NodeName, WorkspaceName};
use pollenlever_core::quota::*;
use pollenlever_core::workspace::QuotaLimit;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::faults::Faults;
use crate::process::{MAX_STALENESS, Process, Write};
use event::Event;

const TICK: Duration = Duration::from_millis(50);
pub(crate) const SHARDS: u32 = 3;

struct Node {
    name: NodeName,
    process: Option<Process>,
    /// What this node's clock is ahead of that of the history.
    skew: Duration,
    frozen_until: Timestamp,
}

/// Several nodes and a store on a virtual clock.
pub(crate) struct Cluster {
    pub(crate) now: Timestamp,
    /// Times of the requests that ran.
    pub(crate) uses: HashMap<WorkspaceName, Vec<Timestamp>>,
    pub(crate) token_requests: HashMap<WorkspaceName, u64>,
    /// First breach of a rule: a holder's delegated units exceed its entry, the pools of a shard
    /// exceed the total, or a token is used too late or twice.
    pub(crate) breach: Option<String>,
    /// Time of each grant, and its tokens that were not used.
    grants: HashMap<GrantId, (Timestamp, u32)>,
    faults: Faults,
    limits: Vec<(WorkspaceName, QuotaLimit)>,
    rng: SmallRng,
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    nodes: Vec<Node>,
    parts: Vec<bool>,
    parted_until: Timestamp,
    /// Whether the nodes of one part do not reach the store during the partition.
    is_store_cut: bool,
    /// Tables of all revisions with the times of their writes; the first has revision 1.
    tables: Vec<(Timestamp, ShareTable)>,
    incarnations: u64,
}

impl Cluster {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        limits: &[(&str, f64, f64)],
        faults: Faults,
    ) -> Cluster {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes: Vec<Node> = (0..nodes)
            .map(|index| Node {
                name: format!("n{index}").into(),
                process: None,
                skew: Duration::from_millis(rng.random_range(0..100_000)),
                frozen_until: Duration::ZERO,
            })
            .collect();
        let limit = |it: &(&str, f64, f64)| {
            (WorkspaceName::from(it.0), QuotaLimit { rate_per_s: it.1, burst: it.2 })
        };
        let mut cluster = Cluster {
            now: Duration::ZERO,
            uses: HashMap::new(),
            token_requests: HashMap::new(),
            breach: None,
            grants: HashMap::new(),
            faults,
            limits: limits.iter().map(limit).collect(),
            rng,
            events: BTreeMap::new(),
            next_event: 0,
            parts: vec![false; nodes.len()],
            nodes,
            parted_until: Duration::ZERO,
            is_store_cut: false,
            tables: Vec::new(),
            incarnations: 0,
        };
        (0..cluster.nodes.len()).for_each(|node| cluster.start(node));
        let names: Vec<NodeName> = cluster.nodes.iter().map(|it| it.name.clone()).collect();
        cluster.tables.push((Duration::ZERO, ShareTable::create(&names, SHARDS)));
        cluster
    }

    /// Schedules the faults at random moments before `until`.
    pub(crate) fn schedule_faults(&mut self, until: Duration) {
        let faults = self.faults.clone();
        for _ in 0..faults.kills {
            let event = Event::Kill(self.any_node(), true);
            self.at_random(until, event);
        }
        for _ in 0..faults.freezes {
            let event = Event::Freeze(self.any_node(), self.up_to(4000));
            self.at_random(until, event);
        }
        for _ in 0..faults.leaves {
            let event = Event::Leave(self.any_node());
            self.at_random(until, event);
        }
        for _ in 0..faults.partitions {
            let parts = self.nodes.iter().map(|_| self.rng.random_bool(0.5)).collect();
            let event = Event::Partition(parts, self.up_to(20_000), self.rng.random_bool(0.5));
            self.at_random(until, event);
        }
    }

    pub(crate) fn request(&mut self, at: Timestamp, node: usize, workspace: &str) {
        self.schedule(at, Event::Request(node, workspace.into()));
    }

    /// Ends a node for good.
    pub(crate) fn remove(&mut self, at: Timestamp, node: usize) {
        self.schedule(at, Event::Kill(node, false));
    }

    /// Node that is the home of a workspace as the first node sees it.
    pub(crate) fn home_of(&self, workspace: &str) -> usize {
        let process = self.nodes[0].process.as_ref().unwrap();
        index_of(process.home_of(shard_of(&workspace.into(), SHARDS)))
    }

    pub(crate) fn run_until(&mut self, end: Timestamp) {
        while let Some(entry) = self.events.first_entry().filter(|it| it.key().0 < end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(until) = self.frozen_until(&event) {
            self.schedule(until, event);
            return;
        }
        match event {
            Event::Tick(node, incarnation) => self.tick(node, incarnation),
            Event::Request(node, workspace) => {
                self.take(node, &workspace);
                self.ask(node, &workspace);
            }
            Event::Arrive { from, to, message } => self.arrive(from, to, message),
            Event::NoReply(node, incarnation, workspace, number) => {
                let now = self.local(node);
                let Some(process) = self.process(node, incarnation) else { return };
                if process.is_last_request(&workspace, number) {
                    let (wanted, prefetch, returned) = (1, 0, None);
                    let req = TokenRequest { number, workspace, wanted, prefetch, returned };
                    process.store.on_no_reply(now, &req);
                    self.retry_waiting(node, &req.workspace);
                }
            }
            Event::GiveBack(node, incarnation, permit) => {
                let now = self.local(node);
                if let Some(process) = self.process(node, incarnation) {
                    let grant = permit.grant;
                    process.store.give_back(now, permit);
                    self.grants.entry(grant).and_modify(|it| it.1 += 1);
                }
            }
            Event::StoreWrite(node, incarnation, write) => self.write(node, incarnation, write),
            Event::Written(node, incarnation, revision, write) => {
                let now = self.local(node);
                if let Some(process) = self.process(node, incarnation) {
                    process.on_write_reply(now, revision, &write);
                }
            }
            Event::Read { node, incarnation, start, revision } => {
                let table = self.tables[revision as usize - 1].1.clone();
                if let Some(process) = self.process(node, incarnation) {
                    process.on_table(start, revision, &table);
                }
            }
            Event::Kill(node, true) => self.kill_now(node),
            Event::Kill(node, false) => self.nodes[node].process = None,
            Event::Start(node) => self.start(node),
            Event::Freeze(node, time) => self.nodes[node].frozen_until = self.now + time,
            Event::Partition(parts, time, is_store_cut) => {
                self.is_store_cut = is_store_cut;
                self.parts = parts;
                self.parted_until = self.now + time;
            }
            Event::Leave(node) => {
                if let Some(process) = &mut self.nodes[node].process {
                    process.is_leaving = true;
                }
            }
        }
    }

    /// End of the suspension of the node at which the event happens, if it is suspended.
    fn frozen_until(&self, event: &Event) -> Option<Timestamp> {
        let node = event.node()?;
        Some(self.nodes[node].frozen_until).filter(|it| *it > self.now)
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        self.check_units();
        self.refresh_view(node);
        let now = self.local(node);
        let Some(process) = self.process(node, incarnation) else { return };
        let delegations = process.delegations(now);
        let write = process.next_write(now);
        let reads = process.starts_read(now);
        let is_first = process.table.is_none();
        if process.has_left() {
            self.kill_now(node);
            return;
        }
        self.send_all(node, delegations);
        if let Some(write) = write {
            let delay = self.delay();
            self.after(delay, Event::StoreWrite(node, incarnation, write));
        }
        if reads {
            self.read(node, incarnation, is_first);
        }
        self.after(TICK, Event::Tick(node, incarnation));
    }

    /// Replies with the table of now, or an older one unless it is the process's first read.
    fn read(&mut self, node: usize, incarnation: u64, is_first: bool) {
        let age = self.up_to(if is_first { 1 } else { MAX_STALENESS.as_millis() as u64 });
        let newest = self.tables.partition_point(|it| it.0 + age <= self.now);
        let revision = newest.max(1) as TableRevision;
        let start = self.local(node);
        let delay = self.delay();
        if !self.rng.random_bool(self.faults.loss) && !self.is_cut_from_store(node) {
            self.after(delay, Event::Read { node, incarnation, start, revision });
        }
    }

    fn is_cut_from_store(&self, node: usize) -> bool {
        self.now < self.parted_until && self.is_store_cut && self.parts[node]
    }

    fn write(&mut self, node: usize, incarnation: u64, write: Write) {
        if self.is_cut_from_store(node) {
            return;
        }
        let is_newest = write.base == self.tables.len() as TableRevision;
        if is_newest {
            assert!(write.table.is_valid(), "{:?}", write.table);
            self.tables.push((self.now, write.table.clone()));
        }
        let revision = is_newest.then_some(self.tables.len() as TableRevision);
        let delay = self.delay();
        if !self.rng.random_bool(self.faults.loss.min(0.9) * 2.0) {
            self.after(delay, Event::Written(node, incarnation, revision, write));
        }
    }

    /// The view is that of the members of the same part, or at times a wrong one.
    fn refresh_view(&mut self, node: usize) {
        let is_wrong = self.rng.random_bool(self.faults.wrong_view / 10.0);
        let is_parted = self.now < self.parted_until;
        let mut view = Vec::new();
        for (index, other) in self.nodes.iter().enumerate() {
            let is_seen = !is_parted || self.parts[index] == self.parts[node];
            let is_seen = is_seen && !(is_wrong && self.rng.random_bool(0.5));
            let process = other.process.as_ref().filter(|_| is_seen || index == node);
            view.extend(process.filter(|it| !it.is_leaving).map(|it| (it.name.clone(), it.id)));
        }
        // A wrong view lasts until the next draw.
        let keeps = self.faults.wrong_view > 0.0 && !is_wrong && self.rng.random_bool(0.8);
        let process = self.nodes[node].process.as_mut().filter(|_| !keeps && !view.is_empty());
        if let Some(process) = process {
            process.view = view;
        }
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        self.incarnations += 1;
        let addr = format!("10.0.0.1:{}", 7000 + node).parse().unwrap();
        let id = NodeId { addr, incarnation: self.incarnations };
        let (now, name) = (self.local(node), self.nodes[node].name.clone());
        let process = Process::new(now, name, id, &self.limits, self.faults.without);
        self.nodes[node].process = Some(process);
        self.after(Duration::ZERO, Event::Tick(node, id.incarnation));
    }

    /// Ends a process. The node starts again soon, or late enough for its units to be taken.
    fn kill_now(&mut self, node: usize) {
        self.nodes[node].process = None;
        let max = if self.rng.random_bool(0.2) { 25_000 } else { 3000 };
        let delay = self.up_to(max);
        self.after(delay, Event::Start(node));
    }

    fn process(&mut self, node: usize, incarnation: u64) -> Option<&mut Process> {
        self.nodes[node].process.as_mut().filter(|it| it.id.incarnation == incarnation)
    }

    fn local(&self, node: usize) -> Timestamp {
        self.now + self.nodes[node].skew
    }

    fn delay(&mut self) -> Duration {
        let is_late = self.rng.random_bool(self.faults.late);
        let max = if is_late { 4_000_000 } else { 20_000 };
        Duration::from_micros(self.rng.random_range(200..max))
    }

    fn up_to(&mut self, millis: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..millis))
    }

    fn any_node(&mut self) -> usize {
        self.rng.random_range(0..self.nodes.len())
    }

    fn at_random(&mut self, until: Duration, event: Event) {
        let at = Duration::from_secs(3) + self.up_to(until.as_millis() as u64 - 3000);
        self.schedule(at, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }
}

fn index_of(id: NodeId) -> usize {
    usize::from(id.addr.port()) - 7000
}

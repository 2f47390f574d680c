mod clients;
mod strikes;
mod targets;
mod wire;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::answer::{Answer, ErrorKind, Outcome};
use pollenlever_core::id::{AttemptId, CallId, ExchangeId, NodeId, RequestKey, RunId, StreamId};
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::{Action, Call, Event, RunResult, SendFailure, TargetNotice};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::client::ClientRequest;
use crate::faults::{Faults, Strike};
use crate::history::History;
use crate::machine::Machine;
use crate::setup::{MakePolicy, config};

pub(crate) const MACHINES: usize = 6;
/// Time after which a driver gives up on a silent connection.
const SILENCE: Duration = Duration::from_secs(1);
/// Time after which a client gives up on an entry.
const CLIENT_PATIENCE: Duration = Duration::from_secs(4);
/// Time after which a supervisor kills a process that was asked to leave.
const LEAVE_GRACE: Duration = Duration::from_secs(10);
/// Calls of a target for one child, the first one included.
const CHILD_SENDS: u32 = 3;
/// Levels from which on a target calls two children.
const WIDE_LEVEL: u32 = 9;

/// An exchange between two processes: machine, incarnation and number at the sender.
type Wire = (usize, u64, ExchangeId);

#[derive(Debug, Clone)]
enum Item {
    Event(usize, u64, Event),
    Tick(usize, u64),
    Arrive { wire: Wire, to: NodeId, req: PeerRequest, body: Bytes },
    Reply(Wire, PeerReply, Bytes),
    Fail(Wire, SendFailure),
    Send(usize),
    ClientTimeout(usize, u64, CallId),
    RunEnd(u64),
    Strike(Strike),
}

#[derive(Debug, Clone, Copy)]
enum Caller {
    Client(usize),
    /// A run of a target that makes a call of its own.
    Run(u64),
}

/// A request that a target runs.
struct TargetRun {
    machine: usize,
    incarnation: u64,
    run: RunId,
    attempt: AttemptId,
    body: Bytes,
    child_sends: u32,
    /// Number of the child that is called.
    child: u32,
}

/// Nodes on a virtual clock, joined by a network with faults.
pub(crate) struct World {
    now: Duration,
    rng: SmallRng,
    seed: u64,
    faults: Faults,
    make: MakePolicy,
    machines: Vec<Machine>,
    queue: BTreeMap<(Duration, u64), Item>,
    last_id: u64,
    open: BTreeMap<Wire, usize>,
    streams: BTreeMap<(usize, u64, StreamId), Wire>,
    arrivals: BTreeMap<AttemptId, (Duration, Bytes)>,
    attempts: BTreeMap<(usize, u64, StreamId), AttemptId>,
    calls: BTreeMap<(usize, u64, CallId), Caller>,
    runs: BTreeMap<u64, TargetRun>,
    cuts: Vec<(usize, usize, Duration)>,
    requests: Vec<ClientRequest>,
    pub(crate) history: History,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults, make: MakePolicy) -> World {
        let mut world = World {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            faults,
            make,
            machines: (0..MACHINES).map(Machine::new).collect(),
            queue: BTreeMap::new(),
            last_id: 0,
            open: BTreeMap::new(),
            streams: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            attempts: BTreeMap::new(),
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            cuts: Vec::new(),
            requests: Vec::new(),
            history: History::default(),
        };
        for index in 0..MACHINES {
            world.start_node(index);
        }
        world.plan_faults();
        world
    }

    /// Adds a request that its client makes at `at`, some keyed ones twice at once.
    pub(crate) fn request(&mut self, at: Duration, req: ClientRequest) {
        let is_keyed = req.keyed;
        self.requests.push(req);
        let item = Item::Send(self.requests.len() - 1);
        self.push_at(at, item.clone());
        if is_keyed && self.chance(0.1) {
            self.push_at(at + Duration::from_millis(1), item);
        }
    }

    pub(crate) fn strike_at(&mut self, at: Duration, strike: Strike) {
        self.push_at(at, Item::Strike(strike));
    }

    /// Runs until nothing is left to do, at most until `end`.
    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(((at, _), item)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(item);
        }
    }

    fn plan_faults(&mut self) {
        let counts =
            [self.faults.kills, self.faults.freezes, self.faults.crashes, self.faults.cuts];
        for (kind, count) in counts.into_iter().enumerate() {
            for _ in 0..count {
                let at = Duration::from_millis(self.rng.random_range(200..12_000));
                let index = self.rng.random_range(0..MACHINES);
                let to = self.rng.random_range(0..MACHINES);
                let len = Duration::from_millis(self.rng.random_range(1_000..6_000));
                let strike = match kind {
                    0 => Strike::Kill(index),
                    1 => Strike::Freeze(index, len * 2),
                    2 => Strike::CrashTarget(index),
                    _ => Strike::Cut { from: index, to, until: at + len },
                };
                self.strike_at(at, strike);
            }
        }
    }

    fn step(&mut self, item: Item) {
        match item {
            Item::Event(index, incarnation, event) => self.deliver(index, incarnation, event),
            Item::Tick(index, incarnation) => self.tick(index, incarnation),
            Item::Arrive { wire, to, req, body } => self.arrive(wire, to, req, body),
            Item::Reply(wire, reply, body) => {
                if self.open.remove(&wire).is_some() {
                    self.deliver(wire.0, wire.1, Event::Reply(wire.2, reply, body));
                }
            }
            Item::Fail(wire, failure) => {
                if self.open.remove(&wire).is_some() {
                    self.deliver(wire.0, wire.1, Event::SendFailed(wire.2, failure));
                }
            }
            Item::Send(request) => self.client_send(request),
            Item::ClientTimeout(index, incarnation, call) => {
                if let Some(Caller::Client(request)) =
                    self.calls.remove(&(index, incarnation, call))
                {
                    self.deliver(index, incarnation, Event::CallCancelled(call));
                    self.client_next(request, None);
                }
            }
            Item::RunEnd(serial) => self.end_run(serial),
            Item::Strike(strike) => self.strike(strike),
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        let machine = &mut self.machines[index];
        if machine.id.incarnation != incarnation {
            return;
        }
        let Some(policy) = &mut machine.policy else { return };
        if machine.frozen {
            return machine.held.push(event);
        }
        let mut actions = Vec::new();
        policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(index, incarnation, action);
        }
        self.plan_tick(index);
    }

    fn plan_tick(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let Some(at) = machine.policy.as_ref().and_then(|it| it.next_wakeup()) else { return };
        if machine.tick_at.is_none_or(|it| at < it || it <= self.now) {
            machine.tick_at = Some(at);
            let incarnation = machine.id.incarnation;
            self.push_at(at.max(self.now), Item::Tick(index, incarnation));
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].tick_at.is_some_and(|at| at <= self.now) {
            self.machines[index].tick_at = None;
            self.deliver(index, incarnation, Event::Tick);
        }
    }

    fn act(&mut self, index: usize, incarnation: u64, action: Action) {
        match action {
            Action::Answer { call, chain, answer, body } => {
                match self.calls.remove(&(index, incarnation, call)) {
                    Some(Caller::Client(request)) => {
                        self.requests[request].chain = chain.or(self.requests[request].chain);
                        self.client_next(request, Some((answer, body)));
                    }
                    Some(Caller::Run(serial)) => self.child_answered(serial, &answer),
                    None => {}
                }
            }
            Action::Keys(call, keys) => self.take_key((index, incarnation, call), &keys),
            Action::Send { exchange, to, req, body } => {
                self.send((index, incarnation, exchange), to, req, body);
            }
            Action::CancelSend(exchange) => self.cancel_send((index, incarnation, exchange)),
            Action::Reply(stream, reply, body) => {
                self.reply((index, incarnation, stream), reply, body);
            }
            Action::Run { run, attempt, body, .. } => {
                self.run(index, incarnation, run, attempt, body);
            }
            Action::CancelRun(run) => {
                self.runs.retain(|_, it| {
                    (it.machine, it.incarnation, it.run) != (index, incarnation, run)
                });
            }
            Action::Left => {
                self.history.left += 1;
                self.strike_at(self.now, Strike::KillIfAlive(index, incarnation));
            }
            Action::Observe(_) => {}
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|it| (it.0, it.1) == (from, to) && self.now < it.2)
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn draw_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn push_in(&mut self, millis: std::ops::Range<u64>, item: Item) {
        let delay =
            Duration::from_micros(self.rng.random_range(millis.start * 1_000..millis.end * 1_000));
        self.push_at(self.now + delay, item);
    }

    fn push_at(&mut self, at: Duration, item: Item) {
        let id = self.draw_id();
        self.queue.insert((at, id), item);
    }
}

fn plain_call(method: &str, path: &str, body: Bytes) -> Call {
    Call {
        service: "charging".into(),
        method: method.to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body,
        customer: "unibo".into(),
        key: None,
        chain: None,
        parent: None,
        timeout: None,
    }
}

/// Levels of calls beneath a request.
fn levels_of(body: &Bytes) -> u32 {
    let text = String::from_utf8_lossy(body);
    let mut parts = text.split(':');
    match parts.next() {
        Some("deep") => parts.nth(1).and_then(|it| it.parse().ok()).unwrap_or(0),
        _ => 0,
    }
}

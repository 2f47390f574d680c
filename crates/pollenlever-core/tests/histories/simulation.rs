mod clients;
mod network;
mod process_faults;
mod targets;

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
use crate::faults::{FaultEvent, Faults};
use crate::history::History;
use crate::machine::Machine;
use crate::setup::{MakePolicy, config};

/// Number of machines, each with a node and a target.
pub(crate) const MACHINES: usize = 6;
/// Time after which a send to a frozen node fails.
const FROZEN_SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a client cancels its call.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which a supervisor kills a process that was asked to leave.
const LEAVE_GRACE: Duration = Duration::from_secs(10);
/// Maximum calls that a target makes for one child, including the first.
const MAX_CHILD_SENDS: u32 = 3;
/// A target with at least this many levels below it calls two children instead of one.
const MIN_TWO_CHILDREN_LEVEL: u32 = 9;

/// An exchange between two nodes: machine, incarnation and exchange number of the sender.
type GlobalExchangeId = (usize, u64, ExchangeId);

/// What happens at a scheduled time. Machines are given by index, with the incarnation meant.
#[derive(Debug, Clone)]
enum Scheduled {
    Event(usize, u64, Event),
    Tick(usize, u64),
    Arrive { exchange: GlobalExchangeId, to: NodeId, req: PeerRequest, body: Bytes },
    Reply(GlobalExchangeId, PeerReply, Bytes),
    Fail(GlobalExchangeId, SendFailure),
    ClientSend(usize),
    ClientTimeout(usize, u64, CallId),
    RunEnd(u64),
    FaultEvent(FaultEvent),
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
    /// Index of the child that is being called.
    child: u32,
}

/// Simulates nodes, targets and clients on a virtual clock, connected by a network with faults.
pub(crate) struct Simulation {
    now: Duration,
    rng: SmallRng,
    seed: u64,
    faults: Faults,
    make_policy: MakePolicy,
    machines: Vec<Machine>,
    queue: BTreeMap<(Duration, u64), Scheduled>,
    last_id: u64,
    open_exchanges: BTreeMap<GlobalExchangeId, usize>,
    streams: BTreeMap<(usize, u64, StreamId), GlobalExchangeId>,
    arrivals: BTreeMap<AttemptId, (Duration, Bytes)>,
    attempts: BTreeMap<(usize, u64, StreamId), AttemptId>,
    calls: BTreeMap<(usize, u64, CallId), Caller>,
    runs: BTreeMap<u64, TargetRun>,
    cuts: Vec<(usize, usize, Duration)>,
    requests: Vec<ClientRequest>,
    pub(crate) history: History,
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults, make_policy: MakePolicy) -> Simulation {
        let mut simulation = Simulation {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            seed,
            faults,
            make_policy,
            machines: (0..MACHINES).map(Machine::new).collect(),
            queue: BTreeMap::new(),
            last_id: 0,
            open_exchanges: BTreeMap::new(),
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
            simulation.start_node(index);
        }
        simulation.schedule_faults();
        simulation
    }

    /// Adds a request that its client makes at `at`; one in ten keyed requests is sent twice.
    pub(crate) fn request(&mut self, at: Duration, req: ClientRequest) {
        let is_keyed = req.keyed;
        self.requests.push(req);
        let item = Scheduled::ClientSend(self.requests.len() - 1);
        self.schedule_at(at, item.clone());
        if is_keyed && self.chance(0.1) {
            self.schedule_at(at + Duration::from_millis(1), item);
        }
    }

    pub(crate) fn schedule_fault(&mut self, at: Duration, fault: FaultEvent) {
        self.schedule_at(at, Scheduled::FaultEvent(fault));
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

    fn schedule_faults(&mut self) {
        let counts =
            [self.faults.kills, self.faults.freezes, self.faults.crashes, self.faults.cuts];
        for (kind, count) in counts.into_iter().enumerate() {
            for _ in 0..count {
                let at = Duration::from_millis(self.rng.random_range(200..12_000));
                let index = self.rng.random_range(0..MACHINES);
                let to = self.rng.random_range(0..MACHINES);
                let len = Duration::from_millis(self.rng.random_range(1_000..6_000));
                let fault = match kind {
                    0 => FaultEvent::Kill(index),
                    1 => FaultEvent::Freeze(index, len * 2),
                    2 => FaultEvent::CrashTarget(index),
                    _ => FaultEvent::Cut { from: index, to, until: at + len },
                };
                self.schedule_fault(at, fault);
            }
        }
    }

    fn step(&mut self, item: Scheduled) {
        match item {
            Scheduled::Event(index, incarnation, event) => self.deliver(index, incarnation, event),
            Scheduled::Tick(index, incarnation) => self.tick(index, incarnation),
            Scheduled::Arrive { exchange, to, req, body } => self.arrive(exchange, to, req, body),
            Scheduled::Reply(exchange, reply, body) => {
                if self.open_exchanges.remove(&exchange).is_some() {
                    self.deliver(exchange.0, exchange.1, Event::Reply(exchange.2, reply, body));
                }
            }
            Scheduled::Fail(exchange, failure) => {
                if self.open_exchanges.remove(&exchange).is_some() {
                    self.deliver(exchange.0, exchange.1, Event::SendFailed(exchange.2, failure));
                }
            }
            Scheduled::ClientSend(request) => self.client_send(request),
            Scheduled::ClientTimeout(index, incarnation, call) => {
                if let Some(Caller::Client(request)) =
                    self.calls.remove(&(index, incarnation, call))
                {
                    self.deliver(index, incarnation, Event::CallCancelled(call));
                    self.on_client_answer(request, None);
                }
            }
            Scheduled::RunEnd(serial) => self.end_run(serial),
            Scheduled::FaultEvent(fault) => self.apply_fault(fault),
        }
    }

    fn deliver(&mut self, index: usize, incarnation: u64, event: Event) {
        let machine = &mut self.machines[index];
        if machine.id.incarnation != incarnation {
            return;
        }
        let Some(policy) = &mut machine.policy else { return };
        if machine.frozen {
            return machine.deferred_events.push(event);
        }
        let mut actions = Vec::new();
        policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(index, incarnation, action);
        }
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let Some(at) = machine.policy.as_ref().and_then(|it| it.next_wakeup()) else { return };
        if machine.tick_at.is_none_or(|it| at < it || it <= self.now) {
            machine.tick_at = Some(at);
            let incarnation = machine.id.incarnation;
            self.schedule_at(at.max(self.now), Scheduled::Tick(index, incarnation));
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].tick_at.is_some_and(|at| at <= self.now) {
            self.machines[index].tick_at = None;
            self.deliver(index, incarnation, Event::Tick);
        }
    }

    fn perform(&mut self, index: usize, incarnation: u64, action: Action) {
        match action {
            Action::Answer { call, chain, answer, body } => {
                match self.calls.remove(&(index, incarnation, call)) {
                    Some(Caller::Client(request)) => {
                        self.requests[request].chain = chain.or(self.requests[request].chain);
                        self.on_client_answer(request, Some((answer, body)));
                    }
                    Some(Caller::Run(serial)) => self.on_child_answer(serial, &answer),
                    None => {}
                }
            }
            Action::Keys(call, keys) => self.on_keys((index, incarnation, call), &keys),
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
            Action::LeaveCompleted => {
                self.history.completed_leaves += 1;
                self.schedule_fault(self.now, FaultEvent::KillIfAlive(index, incarnation));
            }
            Action::RecordCall(_) => {}
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|it| (it.0, it.1) == (from, to) && self.now < it.2)
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn allocate_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn schedule_in(&mut self, millis: std::ops::Range<u64>, item: Scheduled) {
        let delay =
            Duration::from_micros(self.rng.random_range(millis.start * 1_000..millis.end * 1_000));
        self.schedule_at(self.now + delay, item);
    }

    fn schedule_at(&mut self, at: Duration, item: Scheduled) {
        let id = self.allocate_id();
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
        workspace: "unibo".into(),
        key: None,
        chain: None,
        parent: None,
        timeout: None,
    }
}

/// Levels of nested calls below a request.
fn levels_of(body: &Bytes) -> u32 {
    let text = String::from_utf8_lossy(body);
    let mut parts = text.split(':');
    match parts.next() {
        Some("deep") => parts.nth(1).and_then(|it| it.parse().ok()).unwrap_or(0),
        _ => 0,
    }
}

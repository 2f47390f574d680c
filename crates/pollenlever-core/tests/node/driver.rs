use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::admission::FifoAdmission;
use pollenlever_core::answer::{Answer, ErrorKind};
use pollenlever_core::config::{PathPattern, RequestKind, ServiceConfig};
use pollenlever_core::id::{AttemptId, CallId, ChainId, ExchangeId, NodeId, RequestKey, RunId};
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::message::{PeerRequest, Suspicion};
use pollenlever_core::node::{Node, NodeSettings};
use pollenlever_core::policy::{Action, Call, Event, Policy, RunResult, TargetNotice};
use pollenlever_core::routing::RoundRobin;

/// Drives one node on a virtual clock and records all its actions.
pub(crate) struct Driver {
    node: Node,
    now: Duration,
    pub(crate) actions: Vec<Action>,
}

impl Driver {
    /// A node with a target of its own.
    pub(crate) fn new() -> Driver {
        Driver::with_member(me())
    }

    /// A node without a target of its own; the only target is beside a peer.
    pub(crate) fn with_peer() -> Driver {
        Driver::with_member(peer())
    }

    fn with_member(node: NodeId) -> Driver {
        let (admission, routing) = (FifoAdmission::default(), RoundRobin::default());
        let (region, zone) = ("veneto".into(), "veneto-a".into());
        let cfg = NodeSettings::default();
        let policy = Node::new(me(), region, zone, cfg, Box::new(admission), Box::new(routing));
        let mut driver = Driver { node: policy, now: Duration::from_secs(1), actions: Vec::new() };
        driver.event(Event::Config(config().into()));
        driver.announce_slots(1);
        driver.event(Event::MembersUpdated(vec![member(node)]));
        driver
    }

    pub(crate) fn announce_slots(&mut self, slots: u32) {
        let slots = Some(slots);
        let announce = TargetNotice::Announce { service: "charging".into(), slots, cold: false };
        self.event(Event::Target(announce));
    }

    pub(crate) fn event(&mut self, event: Event) {
        let mut new_actions = Vec::new();
        self.node.handle(self.now, event, &mut new_actions);
        for action in new_actions {
            self.actions.push(action.clone());
            self.loop_back(action);
        }
    }

    /// Delivers what the node sends to itself. A stream has the number of its exchange.
    fn loop_back(&mut self, action: Action) {
        match action {
            Action::Send { exchange, to, req, body } if to == me() => {
                self.event(Event::Request { stream: exchange, from: me(), req, body });
            }
            Action::Reply(stream, reply, body) => self.event(Event::Reply(stream, reply, body)),
            Action::CancelSend(exchange) => self.event(Event::RequestCancelled(exchange)),
            _ => {}
        }
    }

    /// Advances the clock by `time`, stopping at each timer of the node.
    pub(crate) fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.node.next_wakeup().filter(|it| *it <= end) {
            self.now = self.now.max(at);
            self.event(Event::Tick);
        }
        self.now = end;
        self.event(Event::Tick);
    }

    pub(crate) fn call(&mut self, id: CallId, call: Call) {
        self.event(Event::Call(id, call));
    }

    pub(crate) fn issue_key(&mut self) -> RequestKey {
        self.event(Event::IssueKeys { call: 0, count: 1 });
        let keys = self.actions.iter().find_map(|it| match it {
            Action::Keys(_, keys) => keys.first().copied(),
            _ => None,
        });
        keys.unwrap()
    }

    /// Delivers a peer's report that a request has crashed `crashes` targets.
    pub(crate) fn receive_crash_report(&mut self, req: &Call, crashes: u32) {
        let mut other = Driver::new();
        other.call(1, req.clone());
        let (_, PeerRequest::Attempt(head)) = other.last_send() else { panic!("no attempt") };
        let report = Suspicion { digest: head.digest, crashes };
        let req = PeerRequest::Suspects(vec![report]);
        self.event(Event::Request { stream: 1 << 40, from: peer(), req, body: Bytes::new() });
    }

    /// Ends the last run.
    pub(crate) fn end_run(&mut self, result: RunResult) {
        let (run, _) = self.last_run();
        self.event(Event::RunEnded(run, result));
    }

    pub(crate) fn run_count(&self) -> usize {
        self.actions.iter().filter(|it| matches!(it, Action::Run { .. })).count()
    }

    pub(crate) fn last_attempt(&self) -> AttemptId {
        self.last_run().1
    }

    pub(crate) fn last_run(&self) -> (RunId, AttemptId) {
        let runs = self.actions.iter().rev();
        let mut runs = runs.filter_map(|it| match it {
            Action::Run { run, attempt, .. } => Some((*run, *attempt)),
            _ => None,
        });
        runs.next().unwrap()
    }

    pub(crate) fn last_send(&self) -> (ExchangeId, &PeerRequest) {
        let sends = self.actions.iter().rev();
        let mut sends = sends.filter_map(|it| match it {
            Action::Send { exchange, req, .. } => Some((*exchange, req)),
            _ => None,
        });
        sends.next().unwrap()
    }

    pub(crate) fn answer(&self, id: CallId) -> &Answer {
        self.find_answer(id).1
    }

    pub(crate) fn error(&self, id: CallId) -> ErrorKind {
        self.answer(id).error.unwrap()
    }

    pub(crate) fn chain(&self, id: CallId) -> ChainId {
        self.find_answer(id).0.unwrap()
    }

    fn find_answer(&self, id: CallId) -> (Option<ChainId>, &Answer) {
        let found = self.actions.iter().find_map(|it| match it {
            Action::Answer { call, chain, answer, .. } if *call == id => Some((*chain, answer)),
            _ => None,
        });
        found.unwrap()
    }
}

pub(crate) fn me() -> NodeId {
    "127.0.0.1:7101@1f".parse().unwrap()
}

pub(crate) fn peer() -> NodeId {
    "127.0.0.1:7102@2f".parse().unwrap()
}

fn member(node: NodeId) -> Member {
    Member {
        node,
        entry: node.addr,
        version: 1,
        region: "veneto".into(),
        zone: "veneto-a".into(),
        service: Some("charging".into()),
        state: TargetState::Ready,
        slots: 1,
    }
}

pub(crate) fn config() -> ServiceConfig {
    let get = RequestKind { path: PathPattern::from("/get"), ..RequestKind::default() };
    let charge = RequestKind {
        name: "charge".into(),
        method: "POST".to_owned(),
        path: PathPattern::from("/charge"),
        is_idempotent: false,
        ..RequestKind::default()
    };
    let kinds = vec![get, charge];
    ServiceConfig { service: "charging".into(), version: 1, kinds, ..ServiceConfig::default() }
}

pub(crate) fn call(path: &str) -> Call {
    Call {
        service: "charging".into(),
        method: "GET".to_owned(),
        path: path.to_owned(),
        headers: Vec::new(),
        body: Bytes::from("body"),
        workspace: "unibo".into(),
        key: None,
        chain: None,
        parent: None,
        timeout: None,
    }
}

pub(crate) fn charge(key: Option<RequestKey>) -> Call {
    Call { method: "POST".to_owned(), key, ..call("/charge") }
}

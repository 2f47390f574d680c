use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;

use crate::Timestamp;
use crate::answer::{Answer, ErrorKind, Outcome};
use crate::config::{RequestKind, ServiceConfig};
use crate::id::{AttemptId, CallId, ChainId, ExchangeId, NodeId, ServiceName};
use crate::membership::{Member, TargetState};
use crate::message::{AttemptHead, PeerReply, PeerRequest};
use crate::policy::{Action, Call, Observation};

/// Maximum attempts of a call, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Entry: calls of the callers beside this node.
#[derive(Debug)]
pub(super) struct Entry {
    me: NodeId,
    configs: HashMap<ServiceName, Arc<ServiceConfig>>,
    targets: HashMap<ServiceName, BTreeMap<NodeId, Member>>,
    pending: HashMap<CallId, PendingCall>,
    exchanges: HashMap<ExchangeId, CallId>,
    deadlines: BTreeMap<(Timestamp, CallId), ()>,
    next_target: usize,
    next_seq: u64,
}

#[derive(Debug)]
struct PendingCall {
    call: Call,
    kind: RequestKind,
    chain: ChainId,
    arrived: Timestamp,
    deadline: Timestamp,
    attempts: u32,
    exchange: ExchangeId,
}

impl Entry {
    pub(super) fn new(me: NodeId) -> Entry {
        Entry {
            me,
            configs: HashMap::new(),
            targets: HashMap::new(),
            pending: HashMap::new(),
            exchanges: HashMap::new(),
            deadlines: BTreeMap::new(),
            next_target: 0,
            next_seq: 0,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.deadlines.first_key_value().map(|((at, _), ())| *at)
    }

    pub(super) fn configure(&mut self, cfg: Arc<ServiceConfig>) {
        self.configs.insert(cfg.service.clone(), cfg);
    }

    pub(super) fn update_members(&mut self, members: Vec<Member>) {
        for member in members {
            let Some(service) = member.service.clone() else { continue };
            let targets = self.targets.entry(service).or_default();
            match member.state {
                TargetState::Ready | TargetState::Cold => targets.insert(member.node, member),
                TargetState::Absent | TargetState::Leaving => targets.remove(&member.node),
            };
        }
    }

    pub(super) fn remove_members(&mut self, nodes: &[NodeId]) {
        for targets in self.targets.values_mut() {
            targets.retain(|node, _| !nodes.contains(node));
        }
    }

    pub(super) fn on_call(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: Call,
        out: &mut Vec<Action>,
    ) {
        let kind = match self.kind_of(&call) {
            Ok(kind) => kind,
            Err(err) => return refuse_call(id, err, out),
        };
        let deadline = now + call.timeout.map_or(kind.deadline, |it| it.min(kind.deadline));
        let chain = call.chain.unwrap_or(ChainId { origin: self.me, seq: self.allocate_seq() });
        let pending =
            PendingCall { call, kind, chain, arrived: now, deadline, attempts: 0, exchange: 0 };
        self.pending.insert(id, pending);
        self.deadlines.insert((deadline, id), ());
        self.send_next_attempt(now, id, ErrorKind::NoTarget, out);
    }

    fn kind_of(&self, call: &Call) -> Result<RequestKind, ErrorKind> {
        let cfg = self.configs.get(&call.service).ok_or(ErrorKind::UnknownService)?;
        cfg.kind_of(&call.method, &call.path).cloned()
    }

    fn allocate_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn send_next_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        last_error: ErrorKind,
        out: &mut Vec<Action>,
    ) {
        let seq = self.allocate_seq();
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let targets = self.targets.get(&pending.call.service);
        let count = targets.map_or(0, BTreeMap::len);
        if pending.attempts == MAX_ATTEMPTS || count == 0 {
            let answer = Answer::from_error(last_error, None);
            return self.finish(now, id, answer, Bytes::new(), out);
        }
        let index = self.next_target % count;
        let to = targets.and_then(|it| it.keys().nth(index)).copied().unwrap_or(self.me);
        self.next_target = self.next_target.wrapping_add(1);
        pending.attempts += 1;
        pending.exchange = seq;
        self.exchanges.insert(seq, id);
        let head = AttemptHead {
            id: AttemptId { sender: self.me, seq },
            chain: pending.chain,
            key: None,
            service: pending.call.service.clone(),
            method: pending.call.method.clone(),
            path: pending.call.path.clone(),
            headers: pending.call.headers.clone(),
            workspace: pending.call.workspace.clone(),
            importance: pending.kind.importance,
            depth: 0,
            time_left: pending.deadline.saturating_sub(now),
            digest: 0,
            is_retry: pending.attempts > 1,
            crashes: 0,
        };
        let req = PeerRequest::Attempt(head);
        out.push(Action::Send { exchange: seq, to, req, body: pending.call.body.clone() });
    }

    pub(super) fn on_reply(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: PeerReply,
        body: Bytes,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.exchanges.remove(&exchange) else { return };
        match reply {
            PeerReply::Attempt(answer, _) => match answer.error {
                Some(err) => self.send_next_attempt(now, id, err, out),
                None => self.finish(now, id, answer, body, out),
            },
            PeerReply::Refused(err) => self.send_next_attempt(now, id, err, out),
            _ => self.send_next_attempt(now, id, ErrorKind::Internal, out),
        }
    }

    pub(super) fn on_send_failed(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        out: &mut Vec<Action>,
    ) {
        if let Some(id) = self.exchanges.remove(&exchange) {
            self.send_next_attempt(now, id, ErrorKind::OutcomeUnknown, out);
        }
    }

    pub(super) fn on_call_cancelled(&mut self, id: CallId, out: &mut Vec<Action>) {
        if let Some(pending) = self.pending.remove(&id) {
            self.deadlines.remove(&(pending.deadline, id));
            self.exchanges.remove(&pending.exchange);
            out.push(Action::CancelSend(pending.exchange));
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((&(at, id), ())) = self.deadlines.first_key_value() {
            if at > now {
                break;
            }
            if let Some(pending) = self.pending.get(&id) {
                self.exchanges.remove(&pending.exchange);
                out.push(Action::CancelSend(pending.exchange));
            }
            let answer = Answer::from_error(ErrorKind::DeadlinePassed, None);
            self.finish(now, id, answer, Bytes::new(), out);
        }
    }

    fn finish(
        &mut self,
        now: Timestamp,
        id: CallId,
        answer: Answer,
        body: Bytes,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.deadlines.remove(&(pending.deadline, id));
        out.push(Action::RecordCall(Observation {
            service: pending.call.service,
            kind: pending.kind.name,
            workspace: pending.call.workspace,
            status: answer.status,
            error: answer.error,
            latency: now.saturating_sub(pending.arrived),
            is_good: answer.outcome == Outcome::Ran
                && answer.status < 500
                && now <= pending.deadline,
        }));
        out.push(Action::Answer { call: id, chain: Some(pending.chain), answer, body });
    }
}

fn refuse_call(call: CallId, err: ErrorKind, out: &mut Vec<Action>) {
    let answer = Answer::from_error(err, None);
    out.push(Action::Answer { call, chain: None, answer, body: Bytes::new() });
}

use bytes::Bytes;

use super::entry::Entry;
use super::gate::Gate;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::id::{NodeId, RequestKey};
use crate::message::{PeerReply, PeerRequest};
use crate::policy::{Action, Event, Policy, TargetNotice};

/// Policy without limits, the baseline of measurements.
///
/// Its gate has an unbounded FIFO queue; its entry routes round robin and makes up to three attempts
/// per call. Request keys are ignored.
///
/// ```
/// use pollenlever_core::naive::NaivePolicy;
/// use pollenlever_core::policy::Policy;
/// let policy = NaivePolicy::new("127.0.0.1:7101@1".parse().unwrap());
/// assert_eq!(policy.next_wakeup(), None);
/// ```
#[derive(Debug)]
pub struct NaivePolicy {
    entry: Entry,
    gate: Gate,
    is_leaving: bool,
    me: NodeId,
    next_key: u64,
}

impl NaivePolicy {
    /// Creates the policy of the node `me`.
    pub fn new(me: NodeId) -> NaivePolicy {
        NaivePolicy {
            entry: Entry::new(me),
            gate: Gate::default(),
            is_leaving: false,
            me,
            next_key: 0,
        }
    }

    fn reply_to_other(req: PeerRequest) -> PeerReply {
        match req {
            PeerRequest::Grant(_) => PeerReply::Grant(true),
            _ => PeerReply::Refused(ErrorKind::KeyForeign),
        }
    }

    /// Returns well-formed keys, which this policy ignores on requests.
    fn make_keys(&mut self, count: u32) -> Vec<RequestKey> {
        let first = self.next_key;
        self.next_key += u64::from(count);
        let key = |seq| RequestKey { home: self.me, minted_ms: 0, seq, tag: 0 };
        (first..self.next_key).map(key).collect()
    }

    fn on_target(&mut self, notice: TargetNotice) {
        match notice {
            TargetNotice::Announce { slots: Some(slots), .. } => self.gate.set_slots(slots),
            TargetNotice::Leaving => self.gate.leave(),
            _ => {}
        }
    }
}

impl Policy for NaivePolicy {
    type Event = Event;
    type Action = Action;

    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Call(id, call) => self.entry.on_call(now, id, call, actions),
            Event::CallCancelled(id) => self.entry.on_call_cancelled(id, actions),
            Event::IssueKeys { call, count } => {
                actions.push(Action::Keys(call, self.make_keys(count)));
            }
            Event::Request { stream, req: PeerRequest::Attempt(head), body, .. } => {
                self.gate.on_attempt(now, stream, head, body, actions);
            }
            Event::Request { stream, req, .. } => {
                actions.push(Action::Reply(stream, Self::reply_to_other(req), Bytes::new()));
            }
            Event::RequestCancelled(stream) => self.gate.on_request_cancelled(now, stream, actions),
            Event::Reply(exchange, reply, body) => {
                self.entry.on_reply(now, exchange, reply, body, actions);
            }
            Event::SendFailed(exchange, _) => self.entry.on_send_failed(now, exchange, actions),
            Event::RunEnded(run, result) => self.gate.on_run_ended(now, run, result, actions),
            Event::Target(notice) => self.on_target(notice),
            Event::Config(cfg) => {
                self.gate.configure(&cfg);
                self.entry.configure(cfg);
            }
            Event::MembersUpdated(members) => self.entry.update_members(members),
            Event::MembersRemoved(nodes) => self.entry.remove_members(&nodes),
            Event::Leave => {
                self.is_leaving = true;
                self.gate.leave();
            }
            Event::Tick => self.entry.tick(now, actions),
        }
        if self.is_leaving && self.entry.is_idle() && self.gate.is_idle() {
            self.is_leaving = false;
            actions.push(Action::LeaveCompleted);
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        self.entry.next_wakeup()
    }
}

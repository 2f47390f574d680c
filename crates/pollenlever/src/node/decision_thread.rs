use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use pollenlever_core::answer::Answer;
use pollenlever_core::id::{ChainId, ExchangeId, NodeId, RequestKey, RunId, StreamId};
use pollenlever_core::message::PeerReply;
use pollenlever_core::policy::{Action, BoxPolicy, Event, RunResult, SendFailure};
use tokio::sync::mpsc;

use super::{Clock, LoopbackExchanges, PendingReplies};
use crate::gate::{GateCommand, TargetRequest};
use crate::peer::PeerCommand;
use crate::telemetry::SharedTelemetry;

/// Shortest time between two [`Event::Tick`]s.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// Reply of the decision thread to the HTTP handler of a caller.
#[derive(Debug)]
pub enum CallReply {
    /// Answer to a call: its chain if it has one, head and body.
    Answer(Option<ChainId>, Answer, Bytes),
    /// Newly issued request keys.
    Keys(Vec<RequestKey>),
}

/// The thread that owns the policy: feeds it events and executes the actions that it returns.
pub struct DecisionThread {
    /// Id of this node.
    pub local_node: NodeId,
    /// Decides how requests are admitted, routed and retried.
    pub policy: BoxPolicy,
    /// Clock of this node.
    pub clock: Clock,
    /// Receiving end of the event ring.
    pub events: Receiver<Event>,
    /// Replies that HTTP handlers of callers wait for.
    pub calls: Arc<PendingReplies<CallReply>>,
    /// Replies that peers wait for, by stream.
    pub streams: Arc<PendingReplies<(PeerReply, Bytes)>>,
    /// Ring to the peer thread.
    pub peers: mpsc::Sender<PeerCommand>,
    /// Ring to the target thread.
    pub gate: mpsc::Sender<GateCommand>,
    /// Metrics: counts ended calls, full rings and late answers.
    pub telemetry: SharedTelemetry,
    /// Gets a message once the node is leaving and no work is in flight.
    pub drained: Sender<()>,
    /// Exchanges with other nodes that have neither ended nor been cancelled.
    pub exchanges: HashSet<ExchangeId>,
    /// Requests to the target that have neither ended nor been cancelled.
    pub runs: HashSet<RunId>,
    /// Exchanges of this node with itself, which skip the network.
    pub loopback: LoopbackExchanges,
}

impl DecisionThread {
    /// Handles events until every sender of the event ring is dropped.
    pub fn run(mut self) {
        let mut actions = Vec::new();
        let mut last_tick = None;
        loop {
            let event = match self.next_event(last_tick) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !self.remove_pending(&event) {
                continue;
            }
            let now = self.clock.now();
            if event == Event::Tick {
                last_tick = Some(now);
            }
            if let Event::Config(cfg) = &event {
                self.telemetry.set_objectives(cfg);
            }
            self.policy.handle(now, event, &mut actions);
            self.execute(&mut actions);
        }
    }

    fn next_event(&self, last_tick: Option<Duration>) -> Result<Event, RecvTimeoutError> {
        let Some(wakeup) = self.policy.next_wakeup() else {
            return self.events.recv().map_err(|_| RecvTimeoutError::Disconnected);
        };
        let earliest = last_tick.map_or(Duration::ZERO, |it| it + MIN_TICK_INTERVAL);
        let wait = wakeup.max(earliest).saturating_sub(self.clock.now());
        if wait.is_zero() {
            return Err(RecvTimeoutError::Timeout);
        }
        self.events.recv_timeout(wait)
    }

    /// Removes the exchange or run that the event ends from the pending ones. Returns `false` if it was
    /// cancelled before; the event then counts as a late answer.
    fn remove_pending(&mut self, event: &Event) -> bool {
        let is_pending = match event {
            Event::Reply(exchange, ..) | Event::SendFailed(exchange, _) => {
                self.exchanges.remove(exchange)
            }
            Event::RunEnded(run, _) => self.runs.remove(run),
            _ => true,
        };
        if !is_pending {
            self.telemetry.record_event("late_answers");
        }
        is_pending
    }

    /// Executes actions in order. A loopback exchange or a full ring produces an event at once, and
    /// the policy may return more actions for it.
    fn execute(&mut self, actions: &mut Vec<Action>) {
        while !actions.is_empty() {
            let mut events = Vec::new();
            for action in actions.drain(..) {
                events.extend(self.execute_one(action));
            }
            for event in events {
                self.policy.handle(self.clock.now(), event, actions);
            }
        }
    }

    fn execute_one(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Answer { call, chain, answer, body } => {
                let reply = CallReply::Answer(chain, answer, body);
                self.record_if_late(self.calls.complete(call, reply));
            }
            Action::Keys(call, keys) => {
                self.record_if_late(self.calls.complete(call, CallReply::Keys(keys)));
            }
            Action::Reply(stream, reply, body) => return self.reply(stream, reply, body),
            Action::Send { exchange, to, req, body } if to == self.local_node => {
                let stream = self.streams.next_id();
                self.loopback.open(exchange, stream);
                return Some(Event::Request { stream, from: self.local_node, req, body });
            }
            Action::Send { exchange, to, req, body } => {
                let command = PeerCommand::Send { exchange, to, req: Box::new(req), body };
                if self.peers.try_send(command).is_err() {
                    self.telemetry.record_event("peer_ring_full");
                    return Some(Event::SendFailed(exchange, SendFailure::NotSent));
                }
                self.exchanges.insert(exchange);
            }
            Action::CancelSend(exchange) => {
                if let Some(stream) = self.loopback.cancel(exchange) {
                    return Some(Event::RequestCancelled(stream));
                }
                if self.exchanges.remove(&exchange)
                    && self.peers.try_send(PeerCommand::Cancel(exchange)).is_err()
                {
                    self.telemetry.record_event("peer_ring_full");
                }
            }
            Action::Run { run, attempt, method, path, headers, body, time_left } => {
                let req = TargetRequest { attempt, method, path, headers, body, time_left };
                if self.gate.try_send(GateCommand::Run(run, Box::new(req))).is_err() {
                    self.telemetry.record_event("gate_ring_full");
                    return Some(Event::RunEnded(run, RunResult::Unreachable));
                }
                self.runs.insert(run);
            }
            Action::CancelRun(run) => {
                if self.runs.remove(&run) && self.gate.try_send(GateCommand::Cancel(run)).is_err() {
                    self.telemetry.record_event("gate_ring_full");
                }
            }
            Action::RecordCall(observation) => self.telemetry.record_call(&observation),
            Action::LeaveCompleted => {
                let _ = self.drained.try_send(());
            }
        }
        None
    }

    fn reply(&mut self, stream: StreamId, reply: PeerReply, body: Bytes) -> Option<Event> {
        if let Some(exchange) = self.loopback.reply(stream) {
            return Some(Event::Reply(exchange, reply, body));
        }
        self.record_if_late(self.streams.complete(stream, (reply, body)));
        None
    }

    fn record_if_late(&self, was_pending: bool) {
        if !was_pending {
            self.telemetry.record_event("late_answers");
        }
    }
}

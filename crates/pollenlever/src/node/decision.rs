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

use super::{Clock, LocalLoop, Waiters};
use crate::gate::{GateCommand, TargetRequest};
use crate::peer::PeerCommand;
use crate::telemetry::BoxTelemetry;

/// Shortest time between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);

/// What a caller's task waits for.
#[derive(Debug)]
pub enum CallReply {
    /// Answer to a call.
    Answer(Option<ChainId>, Answer, Bytes),
    /// Request keys.
    Keys(Vec<RequestKey>),
}

/// The thread that owns the policy.
pub struct Decision {
    /// This node.
    pub me: NodeId,
    /// Decides.
    pub policy: BoxPolicy,
    /// Clock of this node.
    pub clock: Clock,
    /// Reading end of the ring of events.
    pub events: Receiver<Event>,
    /// Callers that wait.
    pub calls: Arc<Waiters<CallReply>>,
    /// Peers that wait.
    pub streams: Arc<Waiters<(PeerReply, Bytes)>>,
    /// Ring to the peer thread.
    pub peers: mpsc::Sender<PeerCommand>,
    /// Ring to the target thread.
    pub gate: mpsc::Sender<GateCommand>,
    /// Counts ended calls.
    pub telemetry: BoxTelemetry,
    /// Told once everything in flight has ended.
    pub left: Sender<()>,
    /// Exchanges that have neither ended nor been cancelled.
    pub exchanges: HashSet<ExchangeId>,
    /// Runs that have neither ended nor been cancelled.
    pub runs: HashSet<RunId>,
    /// Exchanges of this node with itself.
    pub local: LocalLoop,
}

impl Decision {
    /// Handles events until every writing end of the ring is gone.
    pub fn run(mut self) {
        let mut actions = Vec::new();
        let mut last_tick = None;
        loop {
            let event = match self.next_event(last_tick) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            if !self.is_awaited(&event) {
                continue;
            }
            let now = self.clock.now();
            if event == Event::Tick {
                last_tick = Some(now);
            }
            if let Event::Config(cfg) = &event {
                self.telemetry.configure(cfg);
            }
            self.policy.handle(now, event, &mut actions);
            self.carry_out(&mut actions);
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

    /// Drops and counts what comes after its exchange or run was given up.
    fn is_awaited(&mut self, event: &Event) -> bool {
        let is_awaited = match event {
            Event::Reply(exchange, ..) | Event::SendFailed(exchange, _) => {
                self.exchanges.remove(exchange)
            }
            Event::RunEnded(run, _) => self.runs.remove(run),
            _ => true,
        };
        if !is_awaited {
            self.telemetry.count("late_answers");
        }
        is_awaited
    }

    /// Carries out actions in order. Exchanges of the node with itself and full rings bring events
    /// at once, which may bring more actions.
    fn carry_out(&mut self, actions: &mut Vec<Action>) {
        while !actions.is_empty() {
            let mut events = Vec::new();
            for action in actions.drain(..) {
                events.extend(self.carry_out_one(action));
            }
            for event in events {
                self.policy.handle(self.clock.now(), event, actions);
            }
        }
    }

    fn carry_out_one(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Answer { call, chain, answer, body } => {
                let reply = CallReply::Answer(chain, answer, body);
                self.count_unless(self.calls.complete(call, reply));
            }
            Action::Keys(call, keys) => {
                self.count_unless(self.calls.complete(call, CallReply::Keys(keys)));
            }
            Action::Reply(stream, reply, body) => return self.reply(stream, reply, body),
            Action::Send { exchange, to, req, body } if to == self.me => {
                let stream = self.streams.draw();
                self.local.open(exchange, stream);
                return Some(Event::Request { stream, from: self.me, req, body });
            }
            Action::Send { exchange, to, req, body } => {
                let command = PeerCommand::Send { exchange, to, req: Box::new(req), body };
                if self.peers.try_send(command).is_err() {
                    self.telemetry.count("peer_ring_full");
                    return Some(Event::SendFailed(exchange, SendFailure::Untouched));
                }
                self.exchanges.insert(exchange);
            }
            Action::CancelSend(exchange) => {
                if let Some(stream) = self.local.cancel(exchange) {
                    return Some(Event::RequestCancelled(stream));
                }
                if self.exchanges.remove(&exchange)
                    && self.peers.try_send(PeerCommand::Cancel(exchange)).is_err()
                {
                    self.telemetry.count("peer_ring_full");
                }
            }
            Action::Run { run, attempt, method, path, headers, body, time_left } => {
                let req = TargetRequest { attempt, method, path, headers, body, time_left };
                if self.gate.try_send(GateCommand::Run(run, Box::new(req))).is_err() {
                    self.telemetry.count("gate_ring_full");
                    return Some(Event::RunEnded(run, RunResult::Unreachable));
                }
                self.runs.insert(run);
            }
            Action::CancelRun(run) => {
                if self.runs.remove(&run) && self.gate.try_send(GateCommand::Cancel(run)).is_err() {
                    self.telemetry.count("gate_ring_full");
                }
            }
            Action::Observe(observation) => self.telemetry.observe(&observation),
            Action::Left => {
                let _ = self.left.try_send(());
            }
        }
        None
    }

    fn reply(&mut self, stream: StreamId, reply: PeerReply, body: Bytes) -> Option<Event> {
        if let Some(exchange) = self.local.reply(stream) {
            return Some(Event::Reply(exchange, reply, body));
        }
        self.count_unless(self.streams.complete(stream, (reply, body)));
        None
    }

    fn count_unless(&self, was_awaited: bool) {
        if !was_awaited {
            self.telemetry.count("late_answers");
        }
    }
}

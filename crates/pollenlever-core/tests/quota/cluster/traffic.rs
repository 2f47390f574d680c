use std::time::Duration;

use pollenlever_core::id::{NodeId, WorkspaceName};
use pollenlever_core::quota::*;
use rand::Rng;

use super::event::Event;
use super::{Cluster, index_of};
use crate::faults::Mechanism;
use crate::process::Message;

/// Time after which a token request counts as not replied to.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

impl Cluster {
    pub(super) fn take(&mut self, node: usize, workspace: &WorkspaceName) {
        let now = self.local(node);
        let Some(process) = &mut self.nodes[node].process else { return };
        let incarnation = process.id.incarnation;
        match process.store.take(now, workspace) {
            TakeResult::Taken(permit) => {
                self.record_use(permit.grant);
                if self.rng.random_bool(self.faults.not_run) {
                    let delay = self.up_to(200);
                    self.after(delay, Event::GiveBack(node, incarnation, permit));
                } else {
                    self.uses.entry(workspace.clone()).or_default().push(self.now);
                }
            }
            TakeResult::Ask => {
                process.wait(workspace);
            }
            TakeResult::Refused { .. } => {}
        }
    }

    fn record_use(&mut self, grant: GrantId) {
        let Some((at, left)) = self.grants.get_mut(&grant) else { return };
        if *left == 0 || self.now > *at + GRANT_LIFETIME {
            let breach = format!("at {:?}: {grant:?} of {at:?} has {left} tokens left", self.now);
            self.breach.get_or_insert(breach);
        }
        *left = left.saturating_sub(1);
    }

    pub(super) fn ask(&mut self, node: usize, workspace: &WorkspaceName) {
        let now = self.local(node);
        let Some(process) = &mut self.nodes[node].process else { return };
        let incarnation = process.id.incarnation;
        let messages = process.ask(now, workspace);
        for (_, message) in &messages {
            let Message::Take(requests) = message else { continue };
            let Some(request) = requests.last() else { continue };
            *self.token_requests.entry(workspace.clone()).or_default() += 1;
            let event = Event::NoReply(node, incarnation, workspace.clone(), request.number);
            self.after(REPLY_TIMEOUT, event);
        }
        self.send_all(node, messages);
    }

    pub(super) fn retry_waiting(&mut self, node: usize, workspace: &WorkspaceName) {
        let Some(process) = &mut self.nodes[node].process else { return };
        for _ in 0..process.stop_waiting(workspace) {
            self.take(node, workspace);
        }
        self.ask(node, workspace);
    }

    pub(super) fn arrive(&mut self, from: NodeId, to: NodeId, message: Message) {
        let node = index_of(to);
        let now = self.local(node);
        let without = self.faults.without;
        self.next_event += 1;
        let forged = self.next_event;
        let Some(process) = self.process(node, to.incarnation) else { return };
        let reply = match message {
            Message::Delegate(mut it) => {
                let sequence = it.sequence;
                if without == Some(Mechanism::Sequences) {
                    it.sequence = forged;
                }
                if without == Some(Mechanism::Tickets) {
                    let ticket = Ticket { incarnation: to.incarnation, issued: now };
                    it.shards.iter_mut().for_each(|it| it.ticket = Some(ticket));
                }
                let reply = process.home.on_delegation(now, &it);
                Message::Delegated(ShareDelegationReply { sequence, ..reply })
            }
            Message::Take(it) => {
                let grants = process.home.on_requests(now, &it);
                let at = self.now;
                self.grants.extend(grants.iter().map(|it| (it.id, (at, it.tokens))));
                Message::Tokens(grants)
            }
            Message::Delegated(it) => return process.holder.on_reply(now, from, &it),
            Message::Tokens(grants) => {
                grants.iter().for_each(|it| process.on_grant(now, it));
                grants.iter().for_each(|it| self.retry_waiting(node, &it.workspace));
                return;
            }
        };
        self.send(to, from, reply);
    }

    pub(super) fn send_all(&mut self, node: usize, messages: Vec<(NodeId, Message)>) {
        let Some(from) = self.nodes[node].process.as_ref().map(|it| it.id) else { return };
        messages.into_iter().for_each(|(to, message)| self.send(from, to, message));
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        let is_self = from == to;
        let is_cut =
            self.now < self.parted_until && self.parts[index_of(from)] != self.parts[index_of(to)];
        if is_cut || !is_self && self.rng.random_bool(self.faults.loss) {
            return;
        }
        if !is_self && self.rng.random_bool(self.faults.duplicate) {
            let delay = self.delay();
            self.after(delay, Event::Arrive { from, to, message: message.clone() });
        }
        let delay = if is_self { Duration::ZERO } else { self.delay() };
        self.after(delay, Event::Arrive { from, to, message });
    }
}

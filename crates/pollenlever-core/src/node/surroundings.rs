use std::sync::Arc;

use super::cx::Cx;
use super::node::{Node, TargetStage};
use super::timers::Timer;
use crate::Timestamp;
use crate::config::ServiceConfig;
use crate::id::{NodeId, RegionName};
use crate::membership::Member;
use crate::policy::TargetNotice;

/// The node's target, its configuration, the other members, and its own leaving.
impl Node {
    pub(super) fn on_target(&mut self, cx: &mut Cx<'_>, notice: &TargetNotice) {
        self.admission.notice(cx.now, notice);
        match notice {
            TargetNotice::Announce { service, slots, .. } => {
                self.beside = Some(service.clone());
                self.announced_slots = *slots;
                self.target = TargetStage::Serving;
                self.set_slots(cx);
            }
            TargetNotice::Leaving => {
                self.target = TargetStage::Leaving;
                self.timers.set(cx.now + self.cfg.drain_queue, Timer::DrainQueue);
            }
            TargetNotice::Gone => self.target = TargetStage::Gone,
            TargetNotice::Load { .. } => {}
        }
    }

    pub(super) fn on_config(&mut self, cx: &mut Cx<'_>, cfg: Arc<ServiceConfig>) {
        self.services.insert(cfg.service.clone(), cfg.clone());
        self.routing.configure(cfg);
        self.set_slots(cx);
    }

    /// Sets the slots of the target: those that it announces, within those declared.
    fn set_slots(&mut self, cx: &mut Cx<'_>) {
        let Some(service) = &self.beside else { return };
        let declared = self.services.get(service).map(|it| it.slots);
        if let Some(slots) = self.announced_slots.into_iter().chain(declared).min() {
            self.admission.set_slots(cx.now, slots);
        }
    }

    pub(super) fn on_members_up(&mut self, cx: &mut Cx<'_>, members: Vec<Member>) {
        self.routing.members_up(cx.now, &members);
        for member in members {
            self.members.insert(member.node, member);
        }
    }

    pub(super) fn on_members_gone(&mut self, cx: &mut Cx<'_>, nodes: &[NodeId]) {
        self.routing.members_gone(cx.now, nodes);
        for node in nodes {
            if let Some(member) = self.members.remove(node) {
                self.remember_region(*node, member.region);
            }
            self.incoming.remove(node);
            self.seals.sender_gone(*node);
        }
        self.give_up_seals(cx, nodes);
    }

    /// Remembers where a node stood, for those who look for its successor.
    fn remember_region(&mut self, node: NodeId, region: RegionName) {
        if self.former.len() >= self.cfg.max_former {
            self.former.pop_first();
        }
        self.former.insert(node, region);
    }

    pub(super) fn on_leave(&mut self, cx: &mut Cx<'_>) {
        self.leaving = true;
        self.timers.set(cx.now + self.cfg.drain_queue, Timer::DrainQueue);
        self.timers.set(cx.now + self.cfg.linger, Timer::Linger);
    }

    pub(super) fn is_idle(&self) -> bool {
        let has_work = self.deliveries.values().any(|it| !it.is_asking_seal());
        self.calls.is_empty() && self.streams.is_empty() && !has_work
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.ledger.expire(now);
        let grace = self.cfg.reply_grace;
        for home in self.inherited.values_mut().chain([&mut self.own]) {
            home.expire(now, grace);
        }
        if !self.inherited.is_empty() {
            let retention = self.services.values().map(|it| it.retention).max().unwrap_or_default();
            self.inherited.retain(|_, home| !home.is_over(now, retention));
        }
        self.suspicion.expire(now);
    }
}

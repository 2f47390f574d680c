use std::sync::Arc;

use super::context::Context;
use super::node::{Node, TargetStage};
use super::timers::Timer;
use crate::Timestamp;
use crate::config::ServiceConfig;
use crate::id::{NodeId, RegionName};
use crate::membership::Member;
use crate::policy::TargetNotice;

/// Changes of the target, the configuration and the membership, and the shutdown of the node.
impl Node {
    pub(super) fn on_target(&mut self, cx: &mut Context<'_>, notice: &TargetNotice) {
        self.admission.handle_target_notice(cx.now, notice);
        match notice {
            TargetNotice::Announce { service, slots, .. } => {
                self.target_service = Some(service.clone());
                self.announced_slots = *slots;
                self.target = TargetStage::Serving;
                self.set_slots(cx);
            }
            TargetNotice::Leaving => {
                self.target = TargetStage::Leaving;
                self.timers.set(cx.now + self.cfg.queue_drain_timeout, Timer::QueueDrainTimeout);
            }
            TargetNotice::Exited => self.target = TargetStage::Exited,
            TargetNotice::Load { .. } => {}
        }
    }

    pub(super) fn on_config(&mut self, cx: &mut Context<'_>, cfg: Arc<ServiceConfig>) {
        self.services.insert(cfg.service.clone(), cfg.clone());
        self.routing.configure(cfg);
        self.set_slots(cx);
    }

    /// Sets the slots of the target: the lower of the announced and the configured number.
    fn set_slots(&mut self, cx: &mut Context<'_>) {
        let Some(service) = &self.target_service else { return };
        let configured = self.services.get(service).map(|it| it.slots);
        if let Some(slots) = self.announced_slots.into_iter().chain(configured).min() {
            self.admission.set_slots(cx.now, slots);
        }
    }

    pub(super) fn on_members_updated(&mut self, cx: &mut Context<'_>, members: Vec<Member>) {
        self.routing.update_members(cx.now, &members);
        for member in members {
            self.members.insert(member.node, member);
        }
    }

    pub(super) fn on_members_removed(&mut self, cx: &mut Context<'_>, nodes: &[NodeId]) {
        self.routing.remove_members(cx.now, nodes);
        for node in nodes {
            if let Some(member) = self.members.remove(node) {
                self.remember_region(*node, member.region);
            }
            self.incoming_handovers.remove(node);
            self.seals.forget_sender(*node);
        }
        self.abandon_seals(cx, nodes);
    }

    /// Remembers the region of a gone node, in which its successor is looked for.
    fn remember_region(&mut self, node: NodeId, region: RegionName) {
        if self.gone_regions.len() >= self.cfg.max_gone_regions {
            self.gone_regions.pop_first();
        }
        self.gone_regions.insert(node, region);
    }

    pub(super) fn on_leave(&mut self, cx: &mut Context<'_>) {
        self.is_leaving = true;
        self.timers.set(cx.now + self.cfg.queue_drain_timeout, Timer::QueueDrainTimeout);
        self.timers.set(cx.now + self.cfg.leave_notice, Timer::LeaveNoticeEnded);
    }

    pub(super) fn is_idle(&self) -> bool {
        let has_work = self.deliveries.values().any(|it| !it.is_awaiting_seal());
        self.calls.is_empty() && self.gate_attempts.is_empty() && !has_work
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        self.chain_retry_budgets.expire(now);
        let grace = self.cfg.reply_grace;
        for home in self.inherited_homes.values_mut().chain([&mut self.own_home]) {
            home.expire(now, grace);
        }
        if !self.inherited_homes.is_empty() {
            let retention = self.services.values().map(|it| it.retention).max().unwrap_or_default();
            self.inherited_homes.retain(|_, home| !home.has_expired(now, retention));
        }
        self.suspicion.expire(now);
    }
}

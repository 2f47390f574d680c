use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::context::Context;
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::open_call::CallStage;
use super::outgoing_handover::OutgoingHandover;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{CallId, NodeId, RegionName, StreamId};
use crate::membership::TargetState;
use crate::message::{PeerReply, PeerRequest};
use crate::once::{Handover, Home};
use crate::policy::Action;

/// Maximum sends of one part of a handover, including the first.
const MAX_PART_SENDS: u32 = 3;

/// Handover of the records of a leaving home to a successor.
///
/// The home stops deciding about its keys before it makes the first part and never resumes. The
/// successor starts only after it has received every part. So two nodes never decide about the same
/// key at the same time; if the transfer is incomplete or its result is unknown, possibly none does.
impl Node {
    /// Starts the handover of the records if there are any; ends the node once it is finished.
    pub(super) fn finish_leaving(&mut self, cx: &mut Context<'_>) {
        if self.has_left || self.outgoing_handover.as_ref().is_some_and(|it| !it.is_finished()) {
            return;
        }
        if self.outgoing_handover.is_none() && !self.own_home.table.is_empty() {
            return self.begin_handover(cx);
        }
        self.has_left = true;
        cx.push(Action::LeaveCompleted);
    }

    fn begin_handover(&mut self, cx: &mut Context<'_>) {
        let successors = self.successors(self.me, &self.region).into();
        self.stop_deciding(cx);
        let parts = self.own_home.to_parts(cx.now);
        self.outgoing_handover = Some(OutgoingHandover { successors, parts, sends: 0 });
        self.send_part(cx);
    }

    /// Stops deciding about keys. Deliveries still open end with an unknown outcome.
    fn stop_deciding(&mut self, cx: &mut Context<'_>) {
        self.has_stopped_deciding = true;
        let open: Vec<u64> = self.deliveries.keys().copied().collect();
        for id in open {
            self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
        }
    }

    fn send_part(&mut self, cx: &mut Context<'_>) {
        let next = self.outgoing_handover.as_mut().and_then(OutgoingHandover::next_part);
        match next {
            Some((to, part, bodies)) => {
                self.send(cx, ExchangePurpose::Handover, to, PeerRequest::Handover(part), bodies);
            }
            None => self.finish_leaving(cx),
        }
    }

    pub(super) fn on_handover_reply(&mut self, cx: &mut Context<'_>, reply: &PeerReply) {
        let Some(outgoing) = &mut self.outgoing_handover else { return };
        let is_first = outgoing.parts.front().is_some_and(|(part, _)| part.part == 0);
        if *reply == PeerReply::Handover(true) {
            outgoing.parts.pop_front();
            outgoing.sends = 0;
        } else if is_first && outgoing.sends == 1 {
            // No part was accepted, so another node may take over.
            outgoing.successors.pop_front();
            outgoing.sends = 0;
        } else {
            outgoing.successors.clear();
        }
        self.send_part(cx);
    }

    pub(super) fn on_handover_failed(&mut self, cx: &mut Context<'_>) {
        let Some(outgoing) = &mut self.outgoing_handover else { return };
        if outgoing.sends >= MAX_PART_SENDS {
            outgoing.successors.clear();
        }
        self.send_part(cx);
    }

    /// Accepts a part of a leaving home's records, or refuses it.
    pub(super) fn on_handover(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        from: NodeId,
        part: Handover,
        bodies: Bytes,
    ) {
        let is_from_home = from == part.home && part.home != self.me;
        let taken = is_from_home && !self.is_leaving && self.import_part(cx, part, bodies);
        cx.reply(stream, PeerReply::Handover(taken));
    }

    fn import_part(&mut self, cx: &Context<'_>, part: Handover, bodies: Bytes) -> bool {
        let (home, number, last) = (part.home, part.part, part.last);
        if self.inherited_homes.contains_key(&home) {
            return true;
        }
        let first = || (0, Home::inherited(cx.now, &part));
        let (next, records) = self.incoming_handovers.entry(home).or_insert_with(first);
        if number < *next {
            return true;
        }
        if number > *next || !records.import_part(part, bodies) {
            return false;
        }
        *next += 1;
        if last && let Some((_, records)) = self.incoming_handovers.remove(&home) {
            self.inherited_homes.insert(home, records);
        }
        true
    }

    /// Possible successors of a home, most likely first. All nodes compute the same order by
    /// rendezvous hashing.
    fn successors(&self, home: NodeId, region: &RegionName) -> Vec<NodeId> {
        let is_serving = |state| matches!(state, TargetState::Ready | TargetState::Cold);
        let others = self.members.values().filter(|it| it.node.addr != home.addr);
        let in_region = others.filter(|it| it.region == *region && is_serving(it.state));
        let mut ranked: Vec<(u64, NodeId)> =
            in_region.map(|it| (rendezvous_hash(home, it.node), it.node)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(self.cfg.max_successors).map(|(_, node)| node).collect()
    }

    /// Forwards a call whose home is gone to the next possible successor, or schedules another round.
    /// Returns `false` if neither is possible.
    pub(super) fn try_successor(&mut self, cx: &mut Context<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(key) = call.req.key else { return false };
        let remaining = call.successors.take();
        let is_known = remaining.is_some();
        let mut remaining =
            VecDeque::from(remaining.unwrap_or_else(|| self.successors_of_gone(key.home)));
        let has_candidates = is_known || !remaining.is_empty();
        // If this node is the successor, the next round finds the records here.
        remaining.retain(|it| *it != self.me);
        let next = remaining.pop_front();
        let Some(call) = self.calls.get_mut(&id) else { return false };
        call.successors = Some(remaining.into());
        let req = call.req.clone();
        match next {
            Some(to) => self.forward(cx, id, key, to, &req),
            None => return self.await_handover(cx, id, has_candidates),
        }
        true
    }

    /// Schedules another round, as a handover may be in progress. Returns whether one is left.
    fn await_handover(&mut self, cx: &mut Context<'_>, id: CallId, has_candidates: bool) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        call.handover_rounds += 1;
        if !has_candidates || call.handover_rounds >= self.cfg.handover_rounds {
            return false;
        }
        call.successors = None;
        call.stage = CallStage::AwaitingHandover;
        self.timers.set(cx.now + self.cfg.handover_retry_interval, Timer::HandoverRetry(id));
        true
    }

    pub(super) fn on_handover_retry(&mut self, cx: &mut Context<'_>, id: CallId) {
        if self.calls.get(&id).is_some_and(|it| it.stage == CallStage::AwaitingHandover) {
            self.continue_call(cx, id);
        }
    }

    /// Possible successors of a gone home; if its region is unknown, the most likely one of each
    /// region.
    fn successors_of_gone(&self, home: NodeId) -> Vec<NodeId> {
        let region = self.members.get(&home).map(|it| &it.region);
        if let Some(region) = region.or_else(|| self.gone_regions.get(&home)) {
            return self.successors(home, region);
        }
        let regions: BTreeSet<&RegionName> = self.members.values().map(|it| &it.region).collect();
        let likeliest =
            regions.into_iter().filter_map(|it| self.successors(home, it).first().copied());
        likeliest.collect()
    }
}

fn rendezvous_hash(home: NodeId, candidate: NodeId) -> u64 {
    xxh3_64_with_seed(&candidate.incarnation.to_le_bytes(), home.incarnation)
}

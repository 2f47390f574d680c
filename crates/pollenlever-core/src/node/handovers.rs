use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cx::Cx;
use super::exchange::Exchange;
use super::node::Node;
use super::open_call::CallStage;
use super::outgoing::Outgoing;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{CallId, NodeId, RegionName, StreamId};
use crate::membership::TargetState;
use crate::message::{PeerReply, PeerRequest};
use crate::once::{Handover, Home};
use crate::policy::Action;

/// Sends of one part of a handover, the first one included.
const MAX_PART_SENDS: u32 = 3;

/// Handover of the records of a home that leaves.
///
/// The home stops deciding before it makes the first part and never decides again. The successor
/// decides only after it has every part. So at no time do two nodes decide about a key; if the
/// transfer is in doubt, none may.
impl Node {
    /// Hands the records over once, then ends.
    pub(super) fn finish_leaving(&mut self, cx: &mut Cx<'_>) {
        if self.left || self.outgoing.as_ref().is_some_and(|it| !it.is_over()) {
            return;
        }
        if self.outgoing.is_none() && !self.own.table.is_empty() {
            return self.begin_handover(cx);
        }
        self.left = true;
        cx.push(Action::Left);
    }

    fn begin_handover(&mut self, cx: &mut Cx<'_>) {
        let successors = self.successors(self.me, &self.region).into();
        self.stop_deciding(cx);
        let parts = self.own.to_parts(cx.now);
        self.outgoing = Some(Outgoing { successors, parts, sends: 0 });
        self.send_part(cx);
    }

    /// Ends what is still asked after as unknown and decides nothing more.
    fn stop_deciding(&mut self, cx: &mut Cx<'_>) {
        self.has_stopped = true;
        let open: Vec<u64> = self.deliveries.keys().copied().collect();
        for id in open {
            self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
        }
    }

    fn send_part(&mut self, cx: &mut Cx<'_>) {
        let next = self.outgoing.as_mut().and_then(Outgoing::next_part);
        match next {
            Some((to, part, bodies)) => {
                self.send(cx, Exchange::Handover, to, PeerRequest::Handover(part), bodies);
            }
            None => self.finish_leaving(cx),
        }
    }

    pub(super) fn on_handover_reply(&mut self, cx: &mut Cx<'_>, reply: &PeerReply) {
        let Some(outgoing) = &mut self.outgoing else { return };
        let is_first = outgoing.parts.front().is_some_and(|(part, _)| part.part == 0);
        if *reply == PeerReply::Handover(true) {
            outgoing.parts.pop_front();
            outgoing.sends = 0;
        } else if is_first && outgoing.sends == 1 {
            // Nothing was taken over, so another node may be asked.
            outgoing.successors.pop_front();
            outgoing.sends = 0;
        } else {
            outgoing.successors.clear();
        }
        self.send_part(cx);
    }

    pub(super) fn on_handover_failed(&mut self, cx: &mut Cx<'_>) {
        let Some(outgoing) = &mut self.outgoing else { return };
        if outgoing.sends >= MAX_PART_SENDS {
            outgoing.successors.clear();
        }
        self.send_part(cx);
    }

    /// Takes over a part of the records of a home that leaves.
    pub(super) fn on_handover(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        from: NodeId,
        part: Handover,
        bodies: Bytes,
    ) {
        let is_own = from == part.home && part.home != self.me;
        let taken = is_own && !self.leaving && self.take_part(cx, part, bodies);
        cx.reply(stream, PeerReply::Handover(taken));
    }

    fn take_part(&mut self, cx: &Cx<'_>, part: Handover, bodies: Bytes) -> bool {
        let (home, number, last) = (part.home, part.part, part.last);
        if self.inherited.contains_key(&home) {
            return true;
        }
        let first = || (0, Home::inherited(cx.now, &part));
        let (next, records) = self.incoming.entry(home).or_insert_with(first);
        if number < *next {
            return true;
        }
        if number > *next || !records.take_part(part, bodies) {
            return false;
        }
        *next += 1;
        if last && let Some((_, records)) = self.incoming.remove(&home) {
            self.inherited.insert(home, records);
        }
        true
    }

    /// Nodes that may have taken over from a home, the likeliest first.
    fn successors(&self, home: NodeId, region: &RegionName) -> Vec<NodeId> {
        let serves = |state| matches!(state, TargetState::Ready | TargetState::Cold);
        let others = self.members.values().filter(|it| it.node.addr != home.addr);
        let near = others.filter(|it| it.region == *region && serves(it.state));
        let mut ranked: Vec<(u64, NodeId)> =
            near.map(|it| (rendezvous(home, it.node), it.node)).collect();
        ranked.sort_unstable();
        ranked.into_iter().take(self.cfg.max_successors).map(|(_, node)| node).collect()
    }

    /// Takes a call whose home is gone to the next node that may have taken over. Returns whether
    /// there is one.
    pub(super) fn try_successor(&mut self, cx: &mut Cx<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let Some(key) = call.req.key else { return false };
        let rest = call.successors.take();
        let is_known = rest.is_some();
        let mut rest = VecDeque::from(rest.unwrap_or_else(|| self.successors_of_gone(key.home)));
        let has_candidates = is_known || !rest.is_empty();
        // If this node is the successor, it finds out at the end of the pause.
        rest.retain(|it| *it != self.me);
        let next = rest.pop_front();
        let Some(call) = self.calls.get_mut(&id) else { return false };
        call.successors = Some(rest.into());
        let req = call.req.clone();
        match next {
            Some(to) => self.forward(cx, id, key, to, &req),
            None => return self.pause_call(cx, id, has_candidates),
        }
        true
    }

    /// Waits for a handover that may be under way. Returns whether there is time for it.
    fn pause_call(&mut self, cx: &mut Cx<'_>, id: CallId, has_candidates: bool) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        call.rounds += 1;
        if !has_candidates || call.rounds >= self.cfg.handover_rounds {
            return false;
        }
        call.successors = None;
        call.stage = CallStage::Pausing;
        self.timers.set(cx.now + self.cfg.handover_pause, Timer::HandoverPause(id));
        true
    }

    pub(super) fn on_handover_pause(&mut self, cx: &mut Cx<'_>, id: CallId) {
        if self.calls.get(&id).is_some_and(|it| it.stage == CallStage::Pausing) {
            self.proceed(cx, id);
        }
    }

    /// Likely successors of a home; the likeliest of each region if its own is not known.
    fn successors_of_gone(&self, home: NodeId) -> Vec<NodeId> {
        let region = self.members.get(&home).map(|it| &it.region);
        if let Some(region) = region.or_else(|| self.former.get(&home)) {
            return self.successors(home, region);
        }
        let regions: BTreeSet<&RegionName> = self.members.values().map(|it| &it.region).collect();
        let likeliest =
            regions.into_iter().filter_map(|it| self.successors(home, it).first().copied());
        likeliest.collect()
    }
}

fn rendezvous(home: NodeId, candidate: NodeId) -> u64 {
    xxh3_64_with_seed(&candidate.incarnation.to_le_bytes(), home.incarnation)
}

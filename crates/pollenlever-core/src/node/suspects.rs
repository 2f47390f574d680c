use std::time::Duration;

use bytes::Bytes;
use rand::seq::IteratorRandom;

use super::cx::Cx;
use super::exchange::Exchange;
use super::gate_attempt::{GateAttempt, GateStage};
use super::node::Node;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::config::RequestKind;
use crate::id::{ContentDigest, NodeId, StreamId};
use crate::message::{AttemptHead, PeerReply, PeerRequest, Suspicion};

/// Time in which the failures of one crash arrive.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Requests that crash their targets.
///
/// A suspect is a request that was in flight when a target crashed. A gate runs one suspect at a
/// time beside requests that are not. If the target crashes again, the crash is counted against
/// the suspect alone; an answer clears it.
impl Node {
    /// Whether a request has crashed as many targets as its kind allows.
    pub(super) fn is_refused(&self, digest: ContentDigest, max_crashes: u32) -> bool {
        self.suspicion.crashes(digest) >= max_crashes.max(1)
    }

    pub(super) fn max_crashes_of(&self, head: &AttemptHead) -> u32 {
        let cfg = self.services.get(&head.service);
        let kind = cfg.and_then(|it| it.kind_of(&head.method, &head.path).ok());
        kind.map_or(RequestKind::default().max_crashes, |it| it.max_crashes).max(1)
    }

    /// Keeps a suspect apart while another one is at the gate. Returns whether it waits.
    pub(super) fn park_suspect(&mut self, cx: &mut Cx<'_>, stream: StreamId) -> bool {
        let Some(attempt) = self.streams.get(&stream) else { return false };
        let (deadline, digest) = (attempt.deadline, attempt.head.digest);
        let crashes = attempt.head.crashes;
        self.suspicion.raise(cx.now, Suspicion { digest, crashes });
        if self.suspicion.crashes(digest) == 0 {
            return false;
        }
        if self.lone_suspect.is_none() {
            self.lone_suspect = Some(stream);
            return false;
        }
        if self.parked.len() >= self.cfg.max_parked {
            self.refuse_attempt(cx, stream, ErrorKind::Overloaded, None);
            return true;
        }
        self.parked.insert(stream);
        self.set_gate_stage(stream, GateStage::Parked);
        self.timers.set(deadline, Timer::ParkedDeadline(stream));
        true
    }

    fn set_gate_stage(&mut self, stream: StreamId, stage: GateStage) {
        if let Some(attempt) = self.streams.get_mut(&stream) {
            attempt.stage = stage;
        }
    }

    /// Lets the next suspect go on.
    pub(super) fn release_suspect(&mut self, cx: &mut Cx<'_>) {
        let Some(stream) = self.parked.pop_first() else { return };
        self.lone_suspect = Some(stream);
        let refused = self.streams.get(&stream).is_some_and(|it| self.is_convicted(it));
        if refused {
            return self.refuse_attempt(cx, stream, ErrorKind::Suspect, None);
        }
        self.offer(cx, stream);
    }

    fn is_convicted(&self, attempt: &GateAttempt) -> bool {
        self.is_refused(attempt.head.digest, self.max_crashes_of(&attempt.head))
    }

    /// Counts a crash of the target against a request that was in flight.
    pub(super) fn blame(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        let Some(attempt) = self.streams.get(&stream) else { return };
        let digest = attempt.head.digest;
        let known = self.suspicion.crashes(digest);
        if self.lone_suspect == Some(stream) {
            self.suspect_crashed = Some(cx.now);
        } else if self.has_suspect_to_blame(cx) {
            return;
        }
        let news = Suspicion { digest, crashes: known + 1 };
        if self.suspicion.raise(cx.now, news) {
            self.spread(cx, vec![news]);
        }
    }

    fn has_suspect_to_blame(&self, cx: &Cx<'_>) -> bool {
        let lone = self.lone_suspect.and_then(|it| self.streams.get(&it));
        lone.is_some_and(GateAttempt::is_running)
            || self.suspect_crashed.is_some_and(|at| cx.now < at + CRASH_WINDOW)
    }

    pub(super) fn on_suspects(&mut self, cx: &mut Cx<'_>, stream: StreamId, news: &[Suspicion]) {
        cx.reply(stream, PeerReply::Suspects);
        let fresh: Vec<Suspicion> =
            news.iter().copied().filter(|it| self.suspicion.raise(cx.now, *it)).collect();
        if !fresh.is_empty() {
            self.spread(cx, fresh);
        }
    }

    /// Passes news of crashes on to a few members.
    fn spread(&mut self, cx: &mut Cx<'_>, news: Vec<Suspicion>) {
        let me = self.me;
        let others = self.members.keys().copied().filter(|it| *it != me);
        let peers: Vec<NodeId> = others.choose_multiple(&mut self.rng, self.cfg.suspicion_fanout);
        for peer in peers {
            let req = PeerRequest::Suspects(news.clone());
            self.send(cx, Exchange::Notice, peer, req, Bytes::new());
        }
    }
}

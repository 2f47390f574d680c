use bytes::Bytes;
use rand::seq::IteratorRandom;

use super::cx::Cx;
use super::exchange::Exchange;
use super::gate_attempt::{GateAttempt, GateStage};
use super::node::Node;
use super::timers::Timer;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::RequestKind;
use crate::id::{ContentDigest, NodeId, StreamId};
use crate::message::{AttemptHead, PeerReply, PeerRequest, Suspicion};

/// Requests in one message about crashes.
const MAX_NEWS: usize = 256;

/// Requests that crash their targets.
///
/// A suspect is a request that was in flight when a target crashed. It runs alone on its next
/// target, so that a second crash is its own and an answer clears it; requests that were merely
/// beside it run on.
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
            self.set_lone_suspect(cx, stream);
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
        self.set_lone_suspect(cx, stream);
        let refused = self.streams.get(&stream).is_some_and(|it| self.is_convicted(it));
        if refused {
            return self.refuse_attempt(cx, stream, ErrorKind::Suspect, None);
        }
        self.offer(cx, stream);
    }

    fn set_lone_suspect(&mut self, cx: &Cx<'_>, stream: StreamId) {
        self.lone_suspect = Some(stream);
        self.timers.set(cx.now + self.cfg.suspect_wait, Timer::SuspectWait(stream));
    }

    /// Whether the request of an attempt has crashed as many targets as its kind allows.
    pub(super) fn is_convicted(&self, attempt: &GateAttempt) -> bool {
        self.is_refused(attempt.head.digest, self.max_crashes_of(&attempt.head))
    }

    /// Counts a crash of the target against a request that was in flight.
    pub(super) fn blame(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        let Some(attempt) = self.streams.get(&stream) else { return };
        let digest = attempt.head.digest;
        let crashes = self.suspicion.crashes(digest) + 1;
        let news = Suspicion { digest, crashes };
        if self.suspicion.raise(cx.now, news) {
            self.plan_spread(cx.now, digest);
        }
    }

    /// Lets an attempt that has a slot wait for its turn.
    pub(super) fn hold(&mut self, stream: StreamId) {
        self.set_gate_stage(stream, GateStage::Held);
        self.held.push_back(stream);
    }

    /// The next attempt that may start: a suspect only when nothing runs, others only when no
    /// suspect runs. A suspect is not overtaken.
    pub(super) fn pop_startable(&mut self) -> Option<StreamId> {
        let next = *self.held.front()?;
        let suspect_runs = self.runs.values().any(|it| Some(*it) == self.lone_suspect);
        let is_suspect = self.lone_suspect == Some(next);
        if suspect_runs || is_suspect && !self.runs.is_empty() {
            return None;
        }
        self.held.pop_front()
    }

    /// Gives up on running a suspect alone when the target is not free in time.
    pub(super) fn on_suspect_wait(&mut self, cx: &mut Cx<'_>, stream: StreamId) {
        if self.streams.get(&stream).is_some_and(|it| it.stage == GateStage::Held) {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
        }
    }

    pub(super) fn on_suspects(&mut self, cx: &mut Cx<'_>, stream: StreamId, news: &[Suspicion]) {
        cx.reply(stream, PeerReply::Suspects);
        for it in news {
            if self.suspicion.raise(cx.now, *it) {
                self.plan_spread(cx.now, it.digest);
            }
        }
    }

    /// Passes news of crashes on soon, with what else is heard until then.
    fn plan_spread(&mut self, now: Timestamp, digest: ContentDigest) {
        if self.hot_suspects.is_empty() {
            self.timers.set(now + self.cfg.suspicion_delay, Timer::SpreadSuspicion);
        }
        self.hot_suspects.insert(digest, self.cfg.suspicion_rounds);
    }

    /// Sends the news of crashes to a few members, each piece in several rounds.
    pub(super) fn spread_suspicion(&mut self, cx: &mut Cx<'_>) {
        let news = self.take_news();
        if !self.hot_suspects.is_empty() {
            self.timers.set(cx.now + self.cfg.suspicion_interval, Timer::SpreadSuspicion);
        }
        if news.is_empty() {
            return;
        }
        let me = self.me;
        let others = self.members.keys().copied().filter(|it| *it != me);
        let peers: Vec<NodeId> = others.choose_multiple(&mut self.rng, self.cfg.suspicion_fanout);
        for peer in peers {
            let req = PeerRequest::Suspects(news.clone());
            self.send(cx, Exchange::Notice, peer, req, Bytes::new());
        }
    }

    /// News for one round. What has been cleared meanwhile is no longer news.
    fn take_news(&mut self) -> Vec<Suspicion> {
        let suspicion = &self.suspicion;
        self.hot_suspects.retain(|digest, rounds| *rounds > 0 && suspicion.crashes(*digest) > 0);
        let mut news = Vec::new();
        for (&digest, rounds) in self.hot_suspects.iter_mut().take(MAX_NEWS) {
            *rounds -= 1;
            news.push(Suspicion { digest, crashes: suspicion.crashes(digest) });
        }
        news
    }
}

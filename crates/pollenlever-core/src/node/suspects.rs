use bytes::Bytes;
use rand::seq::IteratorRandom;

use super::context::Context;
use super::exchange_purpose::ExchangePurpose;
use super::gate_attempt::{GateAttempt, GateStage};
use super::node::Node;
use super::timers::Timer;
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::config::RequestKind;
use crate::id::{ContentDigest, NodeId, StreamId};
use crate::message::{AttemptHead, PeerReply, PeerRequest, Suspicion};

/// Maximum number of crash reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 256;

/// Quarantine of requests that may crash their targets.
///
/// A suspect is a request that was in flight when a target crashed. It runs alone on its next
/// target, so that another crash can only be its own fault. An answer clears it, so requests that
/// were merely in flight at the same time are not refused.
impl Node {
    /// Whether a request has crashed as many targets as its kind allows.
    pub(super) fn has_reached_crash_limit(&self, digest: ContentDigest, max_crashes: u32) -> bool {
        self.suspicion.crashes(digest) >= max_crashes.max(1)
    }

    pub(super) fn max_crashes_of(&self, head: &AttemptHead) -> u32 {
        let cfg = self.services.get(&head.service);
        let kind = cfg.and_then(|it| it.kind_of(&head.method, &head.path).ok());
        kind.map_or(RequestKind::default().max_crashes, |it| it.max_crashes).max(1)
    }

    /// Registers a suspect as the one that runs alone, or parks it while the gate has another one.
    /// Returns `false` if the caller is to offer the attempt to admission.
    pub(super) fn park_suspect(&mut self, cx: &mut Context<'_>, stream: StreamId) -> bool {
        let Some(attempt) = self.gate_attempts.get(&stream) else { return false };
        let (deadline, digest) = (attempt.deadline, attempt.head.digest);
        let crashes = attempt.head.crashes;
        self.suspicion.record_at_least(cx.now, Suspicion { digest, crashes });
        if self.suspicion.crashes(digest) == 0 {
            return false;
        }
        if self.isolated_suspect.is_none() {
            self.set_isolated_suspect(cx, stream);
            return false;
        }
        if self.parked_suspects.len() >= self.cfg.max_parked_suspects {
            self.refuse_attempt(cx, stream, ErrorKind::Overloaded, None);
            return true;
        }
        self.parked_suspects.insert(stream);
        self.set_gate_stage(stream, GateStage::Parked);
        self.timers.set(deadline, Timer::ParkedDeadline(stream));
        true
    }

    fn set_gate_stage(&mut self, stream: StreamId, stage: GateStage) {
        if let Some(attempt) = self.gate_attempts.get_mut(&stream) {
            attempt.stage = stage;
        }
    }

    /// Offers the next parked suspect to admission.
    pub(super) fn release_suspect(&mut self, cx: &mut Context<'_>) {
        let Some(stream) = self.parked_suspects.pop_first() else { return };
        self.set_isolated_suspect(cx, stream);
        let refused = self.gate_attempts.get(&stream).is_some_and(|it| self.is_at_crash_limit(it));
        if refused {
            return self.refuse_attempt(cx, stream, ErrorKind::Suspect, None);
        }
        self.offer(cx, stream);
    }

    fn set_isolated_suspect(&mut self, cx: &Context<'_>, stream: StreamId) {
        self.isolated_suspect = Some(stream);
        self.timers.set(cx.now + self.cfg.suspect_wait, Timer::SuspectWait(stream));
    }

    /// Whether the request of an attempt has crashed as many targets as its kind allows.
    pub(super) fn is_at_crash_limit(&self, attempt: &GateAttempt) -> bool {
        self.has_reached_crash_limit(attempt.head.digest, self.max_crashes_of(&attempt.head))
    }

    /// Counts a crash of the target against a request that was running on it.
    pub(super) fn record_crash(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        let Some(attempt) = self.gate_attempts.get(&stream) else { return };
        let digest = attempt.head.digest;
        let crashes = self.suspicion.crashes(digest) + 1;
        let report = Suspicion { digest, crashes };
        if self.suspicion.record_at_least(cx.now, report) {
            self.schedule_spread(cx.now, digest);
        }
    }

    /// Appends an attempt that got a slot to those ready to start.
    pub(super) fn push_ready(&mut self, stream: StreamId) {
        self.set_gate_stage(stream, GateStage::Ready);
        self.ready_attempts.push_back(stream);
    }

    /// Removes and returns the next attempt that may start: a suspect only if nothing is running,
    /// others only if no suspect is running. Attempts do not overtake a waiting suspect.
    pub(super) fn pop_startable(&mut self) -> Option<StreamId> {
        let next = *self.ready_attempts.front()?;
        let is_suspect_running =
            self.streams_by_run.values().any(|it| Some(*it) == self.isolated_suspect);
        let is_suspect = self.isolated_suspect == Some(next);
        if is_suspect_running || is_suspect && !self.streams_by_run.is_empty() {
            return None;
        }
        self.ready_attempts.pop_front()
    }

    /// Refuses a suspect if the target has not become free for it in time.
    pub(super) fn on_suspect_wait(&mut self, cx: &mut Context<'_>, stream: StreamId) {
        if self.gate_attempts.get(&stream).is_some_and(|it| it.stage == GateStage::Ready) {
            self.refuse_waiting_stream(cx, stream, ErrorKind::Overloaded);
        }
    }

    pub(super) fn on_suspects(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        reports: &[Suspicion],
    ) {
        cx.reply(stream, PeerReply::Suspects);
        for it in reports {
            if self.suspicion.record_at_least(cx.now, *it) {
                self.schedule_spread(cx.now, it.digest);
            }
        }
    }

    /// Schedules gossip about a request's crashes, after a delay that collects further reports.
    fn schedule_spread(&mut self, now: Timestamp, digest: ContentDigest) {
        if self.spread_rounds_left.is_empty() {
            self.timers.set(now + self.cfg.suspicion_delay, Timer::SpreadSuspicion);
        }
        self.spread_rounds_left.insert(digest, self.cfg.suspicion_rounds);
    }

    /// Runs one gossip round: sends the current crash reports to a few random members.
    pub(super) fn spread_suspicion(&mut self, cx: &mut Context<'_>) {
        let reports = self.take_round_reports();
        if !self.spread_rounds_left.is_empty() {
            self.timers.set(cx.now + self.cfg.suspicion_interval, Timer::SpreadSuspicion);
        }
        if reports.is_empty() {
            return;
        }
        let me = self.me;
        let others = self.members.keys().copied().filter(|it| *it != me);
        let peers: Vec<NodeId> = others.choose_multiple(&mut self.rng, self.cfg.suspicion_fanout);
        for peer in peers {
            let req = PeerRequest::Suspects(reports.clone());
            self.send(cx, ExchangePurpose::Suspects, peer, req, Bytes::new());
        }
    }

    /// Crash reports for one round, without those sent in all rounds or cleared meanwhile.
    fn take_round_reports(&mut self) -> Vec<Suspicion> {
        let suspicion = &self.suspicion;
        self.spread_rounds_left
            .retain(|digest, rounds| *rounds > 0 && suspicion.crashes(*digest) > 0);
        let mut reports = Vec::new();
        for (&digest, rounds) in self.spread_rounds_left.iter_mut().take(MAX_REPORTS_PER_MESSAGE) {
            *rounds -= 1;
            reports.push(Suspicion { digest, crashes: suspicion.crashes(digest) });
        }
        reports
    }
}

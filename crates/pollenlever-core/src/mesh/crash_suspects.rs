use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use super::{MeshAttempt, StartTime};
use crate::Timestamp;
use crate::config::RequestKind;
use crate::id::ContentDigest;
use crate::message::Suspicion;
use crate::suspicion::{SuspicionTable, content_digest};

/// Time for which a crash is counted against a request.
const CRASH_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of requests for which crashes are counted.
const MAX_SUSPECTS: usize = 4096;
/// Time after the interruption of a run within which a sign that its target has crashed is counted
/// against the request.
const CRASH_SIGN_WAIT: Duration = Duration::from_secs(8);
/// Maximum number of answered requests that are remembered; the oldest is forgotten first.
const MAX_ANSWERED: usize = 4096;

/// Detects requests that crash every target that runs them. Requests are identified by a digest of
/// their content, since a caller may send the same content again under another id and to any node.
///
/// A run that ended without an answer is counted against its request once the target is found to
/// have crashed. A request that the target has answered is never a suspect, because its content
/// evidently runs without a crash.
#[derive(Debug)]
pub struct CrashSuspects {
    crashes: SuspicionTable,
    interrupted: VecDeque<(Timestamp, ContentDigest)>,
    answered: HashSet<ContentDigest>,
    answered_order: VecDeque<ContentDigest>,
    /// Start time of the target process whose crash was counted last; cleared by the next answer.
    last_crash: Option<StartTime>,
}

impl CrashSuspects {
    /// Digest of a request's content: caller, method, path and body.
    pub fn digest(head: &MeshAttempt, body: &[u8]) -> ContentDigest {
        let caller = head.caller.as_bytes();
        content_digest([caller, head.method.as_bytes(), head.path.as_bytes(), body])
    }

    /// Whether a request is refused because it has reached the limit of crashes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::CrashSuspects;
    /// let mut suspects = CrashSuspects::default();
    /// for started in 1..3 {
    ///     assert!(!suspects.has_reached_crash_limit(7));
    ///     suspects.record_interrupted(Duration::ZERO, 7);
    ///     suspects.record_target_crash(Duration::ZERO, started, []);
    /// }
    /// assert!(suspects.has_reached_crash_limit(7));
    /// ```
    pub fn has_reached_crash_limit(&self, digest: ContentDigest) -> bool {
        self.crashes.crashes(digest) >= RequestKind::default().max_crashes
    }

    /// Number of requests that are refused because they have reached the limit of crashes.
    pub fn count_at_crash_limit(&self) -> usize {
        self.crashes.count_with_at_least(RequestKind::default().max_crashes)
    }

    /// Records that the target answered a request, which clears the request of suspicion.
    pub fn record_answered(&mut self, digest: ContentDigest) {
        self.last_crash = None;
        self.crashes.remove(digest);
        if !self.answered.insert(digest) {
            return;
        }
        self.answered_order.push_back(digest);
        if self.answered_order.len() > MAX_ANSWERED
            && let Some(oldest) = self.answered_order.pop_front()
        {
            self.answered.remove(&oldest);
        }
    }

    /// Records that a run ended without an answer.
    pub fn record_interrupted(&mut self, now: Timestamp, digest: ContentDigest) {
        self.interrupted.push_back((now, digest));
        while self.interrupted.front().is_some_and(|(at, _)| *at + CRASH_SIGN_WAIT < now) {
            self.interrupted.pop_front();
        }
    }

    /// Records a crash of the target process that started at `started`. The crash is counted
    /// against the requests whose runs were interrupted recently and those in flight. Returns the
    /// counts to send to other gates. Further signs of the same crash are ignored.
    pub fn record_target_crash(
        &mut self,
        now: Timestamp,
        started: StartTime,
        in_flight: impl IntoIterator<Item = ContentDigest>,
    ) -> Vec<Suspicion> {
        self.crashes.expire(now);
        if self.last_crash == Some(started) {
            self.interrupted.clear();
            return Vec::new();
        }
        self.last_crash = Some(started);
        let interrupted = self.interrupted.drain(..).filter(|(at, _)| *at + CRASH_SIGN_WAIT >= now);
        let counted: HashSet<ContentDigest> = interrupted.map(|it| it.1).chain(in_flight).collect();
        let counted = counted.into_iter().filter(|it| !self.answered.contains(it));
        let suspicions: Vec<Suspicion> = counted
            .map(|digest| Suspicion { digest, crashes: self.crashes.crashes(digest) + 1 })
            .collect();
        for it in &suspicions {
            self.crashes.record_at_least(now, *it);
        }
        suspicions
    }

    /// All requests with crashes counted against them, for a gate that has just started.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        self.crashes.iter().collect()
    }

    /// Merges crash counts received from another gate.
    pub fn merge_remote(&mut self, now: Timestamp, suspicions: &[Suspicion]) {
        self.crashes.expire(now);
        for it in suspicions.iter().filter(|it| !self.answered.contains(&it.digest)) {
            self.crashes.record_at_least(now, *it);
        }
    }
}

impl Default for CrashSuspects {
    fn default() -> CrashSuspects {
        CrashSuspects {
            crashes: SuspicionTable::new(CRASH_RETENTION, MAX_SUSPECTS),
            interrupted: VecDeque::new(),
            answered: HashSet::new(),
            answered_order: VecDeque::new(),
            last_crash: None,
        }
    }
}

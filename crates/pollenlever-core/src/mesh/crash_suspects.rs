use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use super::{MeshAttempt, StartTime};
use crate::Timestamp;
use crate::config::RequestKind;
use crate::id::ContentDigest;
use crate::message::Suspicion;
use crate::suspicion::{SuspicionTable, content_digest};

/// Time for which a crash counts against a request.
const MEMORY: Duration = Duration::from_secs(120);
/// Requests that are remembered with their crashes.
const MAX_SUSPECTS: usize = 4096;
/// Time for which a run that was broken off waits for a sign that its target has crashed.
const CRASH_SIGN_WAIT: Duration = Duration::from_secs(8);
/// Requests that are remembered as answered.
const MAX_ANSWERED: usize = 4096;

/// Finds requests that crash each target that runs them, by their content: such a request comes
/// again under another id, at any node.
///
/// A run that was broken off counts against its request once its target turns out to have crashed.
/// A request that some target has answered is no suspect: the same content runs elsewhere.
#[derive(Debug)]
pub struct CrashSuspects {
    crashes: SuspicionTable,
    broken: VecDeque<(Timestamp, ContentDigest)>,
    answered: HashSet<ContentDigest>,
    answered_order: VecDeque<ContentDigest>,
    /// Start of the target's process whose crash was counted last.
    last_crash: Option<StartTime>,
}

impl CrashSuspects {
    /// Identifies the content of a request.
    pub fn digest(head: &MeshAttempt, body: &[u8]) -> ContentDigest {
        let caller = head.caller.as_bytes();
        content_digest([caller, head.method.as_bytes(), head.path.as_bytes(), body])
    }

    /// Whether a request has crashed as many targets as one may.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::CrashSuspects;
    /// let mut suspects = CrashSuspects::default();
    /// for started in 1..3 {
    ///     assert!(!suspects.is_convicted(7));
    ///     suspects.broken(Duration::ZERO, 7);
    ///     suspects.target_crashed(Duration::ZERO, started, []);
    /// }
    /// assert!(suspects.is_convicted(7));
    /// ```
    pub fn is_convicted(&self, digest: ContentDigest) -> bool {
        self.crashes.crashes(digest) >= RequestKind::default().max_crashes
    }

    /// Requests that are refused since they have crashed as many targets as one may.
    pub fn convicted(&self) -> usize {
        self.crashes.count_of(RequestKind::default().max_crashes)
    }

    /// Notes that the target answered a request.
    pub fn answered(&mut self, digest: ContentDigest) {
        self.last_crash = None;
        self.crashes.clear(digest);
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

    /// Notes that a run ended without an answer.
    pub fn broken(&mut self, now: Timestamp, digest: ContentDigest) {
        self.broken.push_back((now, digest));
        while self.broken.front().is_some_and(|(at, _)| *at + CRASH_SIGN_WAIT < now) {
            self.broken.pop_front();
        }
    }

    /// Counts a crash of the target that started at `started` against the runs that were broken off
    /// lately and those that are in flight. Returns what other gates are to be told. A later sign
    /// of the same crash counts against nobody.
    pub fn target_crashed(
        &mut self,
        now: Timestamp,
        started: StartTime,
        in_flight: impl IntoIterator<Item = ContentDigest>,
    ) -> Vec<Suspicion> {
        self.crashes.expire(now);
        if self.last_crash == Some(started) {
            self.broken.clear();
            return Vec::new();
        }
        self.last_crash = Some(started);
        let broken = self.broken.drain(..).filter(|(at, _)| *at + CRASH_SIGN_WAIT >= now);
        let blamed: HashSet<ContentDigest> = broken.map(|it| it.1).chain(in_flight).collect();
        let blamed = blamed.into_iter().filter(|it| !self.answered.contains(it));
        let news: Vec<Suspicion> = blamed
            .map(|digest| Suspicion { digest, crashes: self.crashes.crashes(digest) + 1 })
            .collect();
        for it in &news {
            self.crashes.raise(now, *it);
        }
        news
    }

    /// All that is held against requests, for a gate that has just started.
    pub fn known(&self) -> Vec<Suspicion> {
        self.crashes.iter().collect()
    }

    /// Takes what another gate says.
    pub fn heard(&mut self, now: Timestamp, news: &[Suspicion]) {
        self.crashes.expire(now);
        for it in news.iter().filter(|it| !self.answered.contains(&it.digest)) {
            self.crashes.raise(now, *it);
        }
    }
}

impl Default for CrashSuspects {
    fn default() -> CrashSuspects {
        CrashSuspects {
            crashes: SuspicionTable::new(MEMORY, MAX_SUSPECTS),
            broken: VecDeque::new(),
            answered: HashSet::new(),
            answered_order: VecDeque::new(),
            last_crash: None,
        }
    }
}

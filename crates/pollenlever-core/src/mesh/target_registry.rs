use std::collections::VecDeque;
use std::time::Duration;

use super::{InstanceId, StartTime, TargetReport};
use crate::Timestamp;

/// Targets that are remembered as gone.
const MAX_GONE: usize = 64;

/// Time without a report after which a target counts as replaced by one that reports, whatever
/// their starts.
const SILENT_AFTER: Duration = Duration::from_secs(5);

/// A target and the latest start of a process that is meant.
pub type Lifetime = (InstanceId, StartTime);

/// What a report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// The target serves, or serves again under another identity.
    Opened,
    /// The target gets no new work from now on.
    Closed,
    /// Nothing that others have to know.
    Refreshed,
    /// The report is older than what is known, or its process is gone.
    Stale,
}

/// Knows which process is the target beside this node and whether it takes new work.
///
/// A process that said that it leaves never gets work again, whatever arrives later. A report of an
/// earlier process does not displace a later one.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    current: Option<TargetReport>,
    reported_at: Timestamp,
    is_unreachable: bool,
    gone: VecDeque<Lifetime>,
}

impl TargetRegistry {
    /// Takes a report of a target.
    pub fn report(&mut self, now: Timestamp, report: TargetReport) -> RegistryChange {
        if self.is_stale(now, &report) || self.is_gone(&report) {
            return RegistryChange::Stale;
        }
        let was_open = self.serving().is_some();
        let same = self
            .current
            .as_ref()
            .is_some_and(|it| (&it.instance, it.started) == (&report.instance, report.started));
        let was_draining = same && self.current.as_ref().is_some_and(|it| it.is_draining);
        let is_draining = report.is_draining || was_draining;
        let is_as_before = same && was_open && self.has_same_shape(&report);
        self.current = Some(TargetReport { is_draining, ..report });
        self.reported_at = now;
        self.is_unreachable = false;
        match (is_draining, was_open) {
            (true, true) => RegistryChange::Closed,
            (true, false) => RegistryChange::Refreshed,
            (false, _) if is_as_before => RegistryChange::Refreshed,
            (false, _) => RegistryChange::Opened,
        }
    }

    /// Takes the word of a target that it is gone. `started` may be left out; then it means the
    /// process that is known, or else every one that has started until `now`, in milliseconds of
    /// Unix time.
    pub fn leave(
        &mut self,
        instance: &InstanceId,
        started: Option<StartTime>,
        now: StartTime,
    ) -> RegistryChange {
        let current = self.current.as_ref().filter(|it| it.instance == *instance);
        let known = current.map(|it| it.started);
        let matching = current.filter(|it| started.is_none_or(|at| at == it.started));
        let (is_known, closes) = (matching.is_some(), matching.is_some_and(|it| !it.is_draining));
        self.note_gone((instance.clone(), started.or(known).unwrap_or(now)));
        if !is_known {
            return RegistryChange::Stale;
        }
        if let Some(current) = &mut self.current {
            current.is_draining = true;
        }
        if closes { RegistryChange::Closed } else { RegistryChange::Refreshed }
    }

    /// Remembers that a target is gone, with the latest start of a process that is meant.
    pub fn note_gone(&mut self, lifetime: Lifetime) {
        if self.gone.contains(&lifetime) {
            return;
        }
        if self.gone.len() == MAX_GONE {
            self.gone.pop_front();
        }
        self.gone.push_back(lifetime);
    }

    /// The target that left last.
    pub fn last_gone(&self) -> Option<&Lifetime> {
        self.gone.back()
    }

    /// Notes that the target refused a connection or has another identity: it gets no work until
    /// its next report.
    pub fn mark_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// The target, if it takes new work.
    pub fn serving(&self) -> Option<&TargetReport> {
        self.current.as_ref().filter(|it| !it.is_draining && !self.is_unreachable)
    }

    /// The target that reported last, whether or not it takes new work.
    pub fn current(&self) -> Option<&TargetReport> {
        self.current.as_ref()
    }

    /// Time of the last report.
    pub fn reported_at(&self) -> Timestamp {
        self.reported_at
    }

    fn is_gone(&self, report: &TargetReport) -> bool {
        let mut gone = self.gone.iter();
        gone.any(|(instance, last)| *instance == report.instance && report.started <= *last)
    }

    fn is_stale(&self, now: Timestamp, report: &TargetReport) -> bool {
        let Some(current) = &self.current else { return false };
        if report.started < current.started {
            // The clock by which targets tell their start may have been set back meanwhile.
            return now.saturating_sub(self.reported_at) < SILENT_AFTER;
        }
        let is_same = (&report.instance, report.started) == (&current.instance, current.started);
        is_same && report.sequence <= current.sequence
    }

    fn has_same_shape(&self, report: &TargetReport) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|it| it.slots == report.slots && it.service == report.service)
    }
}

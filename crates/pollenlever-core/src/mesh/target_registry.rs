use std::collections::VecDeque;
use std::time::Duration;

use super::{DepartedTarget, InstanceId, StartTime, TargetReport};
use crate::Timestamp;

/// Maximum number of departed targets that are remembered; the oldest is forgotten first.
const MAX_DEPARTED: usize = 64;

/// Time without a report after which a target may be replaced by any other that reports, even by
/// one with an earlier start time.
const REPLACEABLE_AFTER: Duration = Duration::from_secs(5);

/// Effect of a report or a departure on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// The target takes requests, for the first time, again, or with other properties.
    Opened,
    /// The target gets no new requests from now on.
    Closed,
    /// Nothing changed that other nodes have to learn.
    Refreshed,
    /// The message was ignored: it is older than the known state or its process is gone.
    Stale,
}

/// Tracks which process is the target beside this node and whether it takes new requests.
///
/// A process that announced its departure never gets requests again, even if later reports of it
/// arrive. A report of an earlier process does not replace a later one.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    current: Option<TargetReport>,
    reported_at: Timestamp,
    is_unreachable: bool,
    /// Departures that this process of the node has heard of itself, oldest first.
    departed: VecDeque<DepartedTarget>,
    /// Departures that were recorded before this process started.
    past: Vec<DepartedTarget>,
}

impl TargetRegistry {
    /// Handles a report of a target.
    pub fn handle_report(&mut self, now: Timestamp, report: TargetReport) -> RegistryChange {
        if self.is_stale(now, &report) || self.has_departed(&report) {
            return RegistryChange::Stale;
        }
        let was_open = self.serving().is_some();
        let is_same_process = self
            .current
            .as_ref()
            .is_some_and(|it| (&it.instance, it.started) == (&report.instance, report.started));
        let was_draining =
            is_same_process && self.current.as_ref().is_some_and(|it| it.is_draining);
        let is_draining = report.is_draining || was_draining;
        let is_unchanged = is_same_process && was_open && self.has_same_service_and_slots(&report);
        if !is_same_process {
            self.remember_drained();
        }
        self.current = Some(TargetReport { is_draining, ..report });
        self.reported_at = now;
        self.is_unreachable = false;
        match (is_draining, was_open) {
            (true, true) => RegistryChange::Closed,
            (true, false) => RegistryChange::Refreshed,
            (false, _) if is_unchanged => RegistryChange::Refreshed,
            (false, _) => RegistryChange::Opened,
        }
    }

    /// Handles the departure of a target. Without `started` it applies to the known process of
    /// `instance` or, if none is known, to every process that started until `now`, in milliseconds
    /// since the Unix epoch.
    pub fn handle_departure(
        &mut self,
        instance: &InstanceId,
        started: Option<StartTime>,
        now: StartTime,
    ) -> RegistryChange {
        let current = self.current.as_ref().filter(|it| it.instance == *instance);
        let known = current.map(|it| it.started);
        let matching = current.filter(|it| started.is_none_or(|at| at >= it.started));
        let (is_known, closes) = (matching.is_some(), matching.is_some_and(|it| !it.is_draining));
        let started = started.or(known).unwrap_or(now);
        self.record_departure(DepartedTarget { instance: instance.clone(), started });
        if !is_known {
            return RegistryChange::Stale;
        }
        if let Some(current) = &mut self.current {
            current.is_draining = true;
        }
        if closes { RegistryChange::Closed } else { RegistryChange::Refreshed }
    }

    /// Handles a departure that was recorded before this process of the node started. Those that it has
    /// heard of itself stay the later ones.
    pub fn handle_past_departure(&mut self, departed: DepartedTarget) -> RegistryChange {
        let current = self.current.as_mut().filter(|it| departed.includes(it) && !it.is_draining);
        let closes = current.is_some();
        if let Some(current) = current {
            current.is_draining = true;
        }
        if !self.past.contains(&departed) && self.past.len() < MAX_DEPARTED {
            self.past.push(departed);
        }
        if closes { RegistryChange::Closed } else { RegistryChange::Refreshed }
    }

    /// Records the departure of the present process, which stated it in an answer.
    pub fn close_current(&mut self) -> RegistryChange {
        let Some(current) = &mut self.current else { return RegistryChange::Stale };
        let was_draining = std::mem::replace(&mut current.is_draining, true);
        self.remember_drained();
        if was_draining { RegistryChange::Refreshed } else { RegistryChange::Closed }
    }

    /// Records the departure of the present process, if it drains.
    fn remember_drained(&mut self) {
        if let Some(it) = self.current.as_ref().filter(|it| it.is_draining) {
            let departed = DepartedTarget { instance: it.instance.clone(), started: it.started };
            self.record_departure(departed);
        }
    }

    /// Records that the processes of a target up to a start time are gone.
    fn record_departure(&mut self, target: DepartedTarget) {
        if self.departed.contains(&target) {
            return;
        }
        if self.departed.len() == MAX_DEPARTED {
            self.departed.pop_front();
        }
        self.departed.push_back(target);
    }

    /// The target that has left; `None` while one is in use or none is known to have left.
    pub fn departed(&self) -> Option<DepartedTarget> {
        let Some(current) = &self.current else { return self.last_departed().cloned() };
        if !current.is_draining {
            return None;
        }
        let recorded = self.all_departed().find(|it| it.includes(current)).cloned();
        let TargetReport { instance, started, .. } = current;
        recorded.or_else(|| Some(DepartedTarget { instance: instance.clone(), started: *started }))
    }

    /// The last departure. Of those from before this process, which may come in any order, the one of
    /// the latest start.
    fn last_departed(&self) -> Option<&DepartedTarget> {
        self.departed.back().or_else(|| self.past.iter().max_by_key(|it| it.started))
    }

    fn all_departed(&self) -> impl Iterator<Item = &DepartedTarget> {
        self.departed.iter().chain(&self.past)
    }

    /// Records that the target refused a connection or answered under another identity. It gets no
    /// requests until its next report.
    pub fn mark_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// The target, if it takes new requests.
    pub fn serving(&self) -> Option<&TargetReport> {
        self.current.as_ref().filter(|it| !it.is_draining && !self.is_unreachable)
    }

    /// The target that reported last, whether or not it takes new requests.
    pub fn current(&self) -> Option<&TargetReport> {
        self.current.as_ref()
    }

    /// Time of the last report.
    pub fn reported_at(&self) -> Timestamp {
        self.reported_at
    }

    fn has_departed(&self, report: &TargetReport) -> bool {
        self.all_departed().any(|it| it.includes(report))
    }

    fn is_stale(&self, now: Timestamp, report: &TargetReport) -> bool {
        let Some(current) = &self.current else { return false };
        if report.started < current.started {
            // The clock from which targets take their start time may have been set back meanwhile.
            return now.saturating_sub(self.reported_at) < REPLACEABLE_AFTER;
        }
        let is_same_process =
            (&report.instance, report.started) == (&current.instance, current.started);
        is_same_process && report.sequence <= current.sequence
    }

    fn has_same_service_and_slots(&self, report: &TargetReport) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|it| it.slots == report.slots && it.service == report.service)
    }
}

use std::collections::BTreeMap;
use std::time::Duration;

use super::class::Class;
use super::{BoxLimit, LimitKind, RunOutcome};
use crate::Timestamp;

/// Concurrency limits: one for each class if the limit kind is per class, otherwise one for all.
///
/// Requests of one class may fail together because of a service that only they need. Per-class
/// limits then leave the concurrency of the other classes unchanged.
pub(super) struct ClassLimits {
    kind: LimitKind,
    slots: u32,
    limits: BTreeMap<Option<Class>, BoxLimit>,
    running: BTreeMap<Option<Class>, u32>,
}

impl ClassLimits {
    pub(super) fn new(kind: LimitKind) -> ClassLimits {
        ClassLimits { kind, slots: 0, limits: BTreeMap::new(), running: BTreeMap::new() }
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
        for limit in self.limits.values_mut() {
            limit.set_slots(slots);
        }
    }

    /// Requests that the target runs at once, as declared.
    pub(super) fn slots(&self) -> u32 {
        self.slots
    }

    /// Records the start of a run.
    pub(super) fn record_start(&mut self, class: Class) {
        *self.running.entry(self.key(class)).or_default() += 1;
    }

    /// Records the end of a run.
    pub(super) fn record_finished(
        &mut self,
        now: Timestamp,
        class: Class,
        service_time: Duration,
        outcome: RunOutcome,
    ) {
        let key = self.key(class);
        let running = self.running.entry(key).or_default();
        let in_flight = *running;
        *running = running.saturating_sub(1);
        self.limit_mut(key).record_finished(now, service_time, outcome, in_flight);
    }

    /// Whether one more request of a class may run.
    pub(super) fn has_room(&self, class: Class) -> bool {
        self.running(class) < self.get(class)
    }

    /// Number of running requests of a class, or of all classes if they share a limit.
    pub(super) fn running(&self, class: Class) -> u32 {
        self.running.get(&self.key(class)).copied().unwrap_or_default()
    }

    /// Concurrency limit of a class; at least 1.
    pub(super) fn get(&self, class: Class) -> u32 {
        let limit = self.limits.get(&self.key(class));
        limit.map_or(self.slots, |it| it.get()).max(1)
    }

    /// Sum of the limits of all classes seen so far, at most the slots.
    pub(super) fn total(&self) -> u32 {
        let sum = self.limits.values().map(|it| it.get()).sum();
        if self.limits.is_empty() { self.slots } else { self.slots.min(sum) }
    }

    fn key(&self, class: Class) -> Option<Class> {
        self.kind.is_per_class().then_some(class)
    }

    fn limit_mut(&mut self, key: Option<Class>) -> &mut BoxLimit {
        let (kind, slots) = (self.kind, self.slots);
        self.limits.entry(key).or_insert_with(|| {
            let mut limit = kind.build();
            limit.set_slots(slots);
            limit
        })
    }
}

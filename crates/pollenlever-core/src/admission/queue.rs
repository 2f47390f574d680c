use std::collections::{BTreeMap, HashMap};

use super::OrderKind;
use super::class::Class;
use super::class_queue::ClassQueue;
use super::lateness_limits::LatenessLimits;
use super::waiting::Waiting;
use super::workspace_usage::WorkspaceUsage;
use crate::Timestamp;
use crate::config::Importance;
use crate::id::StreamId;

/// Requests that wait for a slot, by class.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Only classes with waiting requests.
    classes: BTreeMap<Class, ClassQueue>,
    /// Class and deadline of each waiting request.
    keys: HashMap<StreamId, (Class, Timestamp)>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let class = waiting.class();
        self.keys.insert(waiting.ticket.id, (class, waiting.ticket.deadline));
        self.classes.entry(class).or_default().push(waiting);
    }

    pub(super) fn remove(&mut self, id: StreamId) -> Option<Waiting> {
        let (class, deadline) = self.keys.remove(&id)?;
        let queue = self.classes.get_mut(&class)?;
        let waiting = queue.remove(deadline, id);
        if queue.is_empty() {
            self.classes.remove(&class);
        }
        waiting
    }

    /// The classes with waiting requests, in ascending order.
    pub(super) fn classes(&self) -> impl Iterator<Item = (Class, &ClassQueue)> {
        self.classes.iter().map(|(class, queue)| (*class, queue))
    }

    pub(super) fn count_of(&self, class: Class) -> usize {
        self.classes.get(&class).map_or(0, ClassQueue::len)
    }

    /// Number of waiting requests of a higher class, which run before those of `class`.
    pub(super) fn count_above(&self, class: Class) -> usize {
        self.classes().filter(|it| it.0 > class).map(|it| it.1.len()).sum()
    }

    pub(super) fn max_depth(&self) -> u8 {
        self.classes.keys().map(|it| it.depth).max().unwrap_or_default()
    }

    /// Lowest importance of the waiting requests.
    pub(super) fn min_importance(&self) -> Option<Importance> {
        self.classes.keys().next().map(|it| it.importance)
    }

    /// Removes and returns the requests that are late by the limits of their class.
    pub(super) fn take_late(&mut self, limits: impl Fn(Class) -> LatenessLimits) -> Vec<Waiting> {
        let mut late = Vec::new();
        self.classes.retain(|class, queue| {
            late.extend(queue.take_late(&limits(*class)));
            !queue.is_empty()
        });
        for waiting in &late {
            self.keys.remove(&waiting.ticket.id);
        }
        late
    }

    /// Removes and returns a request of `class` that may start: of the workspace with the least usage,
    /// then by `order`.
    pub(super) fn pop_best_of(
        &mut self,
        class: Class,
        latest_arrival: Timestamp,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
    ) -> Option<Waiting> {
        let best = self.classes.get(&class)?.best(latest_arrival, now, usage, order)?;
        self.remove(best)
    }

    /// Removes and returns the request to shed first: lowest importance, then those that are not
    /// preferred, then lowest depth, then the workspace with the most usage plus waiting requests,
    /// then the last by `order`.
    pub(super) fn pop_worst(
        &mut self,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
        is_preferred: impl Fn(Class) -> bool,
    ) -> Option<Waiting> {
        let rank = |class: &Class| (class.importance, is_preferred(*class), class.depth);
        let lowest = self.classes.keys().min_by_key(|it| rank(it))?;
        let worst = self.classes[lowest].worst(now, usage, order)?;
        self.remove(worst)
    }
}

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::OrderKind;
use super::waiting::Waiting;
use super::workspace_usage::WorkspaceUsage;
use crate::Timestamp;
use crate::config::Importance;
use crate::id::{StreamId, WorkspaceName};

/// Requests that wait for a slot, stored in order of arrival.
#[derive(Debug, Default)]
pub(super) struct Queue {
    items: Vec<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.items.push(waiting);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.items.iter()
    }

    pub(super) fn remove(&mut self, id: StreamId) -> Option<Waiting> {
        let index = self.items.iter().position(|it| it.ticket.id == id)?;
        Some(self.items.remove(index))
    }

    /// Number of waiting requests of a higher class, which run before `waiting`.
    pub(super) fn count_ahead_of(&self, waiting: &Waiting) -> usize {
        self.items.iter().filter(|it| it.class() > waiting.class()).count()
    }

    pub(super) fn max_depth(&self) -> u8 {
        self.items.iter().map(|it| it.ticket.depth).max().unwrap_or_default()
    }

    /// Highest importance of the requests for which `may_run` returns true.
    pub(super) fn max_importance(&self, may_run: impl Fn(&Waiting) -> bool) -> Option<Importance> {
        self.items.iter().filter(|it| may_run(it)).map(|it| it.ticket.importance).max()
    }

    /// Removes and returns all requests for which `is_late` returns true.
    pub(super) fn take_late(&mut self, is_late: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        self.items.extract_if(.., |it| is_late(it)).collect()
    }

    /// Returns the deeper call (depth above 0) to run next: the one of the highest class among the
    /// urgent ones, otherwise the one with the earliest deadline. `None` if a startable new chain
    /// is more important.
    pub(super) fn next_deep_call(
        &self,
        may_run: impl Fn(&Waiting) -> bool,
        is_urgent: impl Fn(&Waiting) -> bool,
    ) -> Option<StreamId> {
        let max_importance = |is_deep: bool| {
            let startable = self.items.iter().filter(|it| may_run(it));
            let matching = startable.filter(|it| (it.ticket.depth > 0) == is_deep);
            matching.map(|it| it.ticket.importance).max()
        };
        if max_importance(true) < max_importance(false) {
            return None;
        }
        let deep_calls = || self.items.iter().filter(|it| it.ticket.depth > 0 && may_run(it));
        let urgent = deep_calls().filter(|it| is_urgent(it)).max_by_key(|it| it.class());
        let next = urgent.or_else(|| deep_calls().min_by_key(|it| it.ticket.deadline));
        next.map(|it| it.ticket.id)
    }

    /// Removes and returns the request to run next among those for which `may_run` returns true:
    /// highest class, then the workspace with the least usage, then by `order`.
    pub(super) fn pop_best(
        &mut self,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
        may_run: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let startable = self.items.iter().filter(|it| may_run(it));
        let class = startable.map(Waiting::class).max()?;
        let used = |it: &Waiting| usage.get(now, it.ticket.importance, &it.ticket.workspace);
        let candidates = self.items.iter().enumerate().filter(|(_, it)| it.class() == class);
        let best = candidates.max_by(|(_, a), (_, b)| {
            used(b).total_cmp(&used(a)).then_with(|| compare(order, a, b))
        });
        let index = best?.0;
        Some(self.items.remove(index))
    }

    /// Removes and returns the request to shed first: lowest importance, then those that are not
    /// preferred, then lowest depth, then the workspace with the most usage plus waiting requests,
    /// then the last by `order`.
    pub(super) fn pop_worst(
        &mut self,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
        is_preferred: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let rank = |it: &Waiting| (it.ticket.importance, is_preferred(it), it.ticket.depth);
        let lowest = self.items.iter().map(rank).min()?;
        let mut load_by_workspace: BTreeMap<WorkspaceName, f64> = BTreeMap::new();
        for it in self.items.iter().filter(|it| rank(it) == lowest) {
            let used = usage.get(now, it.ticket.importance, &it.ticket.workspace);
            *load_by_workspace.entry(it.ticket.workspace.clone()).or_insert(used) += 1.0;
        }
        let load =
            |it: &Waiting| load_by_workspace.get(&it.ticket.workspace).copied().unwrap_or_default();
        let candidates = self.items.iter().enumerate().filter(|(_, it)| rank(it) == lowest);
        let worst = candidates.max_by(|(_, a), (_, b)| {
            load(a).total_cmp(&load(b)).then_with(|| compare(order, b, a))
        });
        let index = worst?.0;
        Some(self.items.remove(index))
    }
}

/// Compares two requests of one class and workspace; the greater one runs first.
fn compare(order: OrderKind, a: &Waiting, b: &Waiting) -> Ordering {
    let by_age = (b.arrived, b.ticket.id).cmp(&(a.arrived, a.ticket.id));
    match order {
        OrderKind::ChainHash => a.hash.cmp(&b.hash).then(by_age),
        OrderKind::Fifo => by_age,
        OrderKind::Lifo => by_age.reverse(),
    }
}

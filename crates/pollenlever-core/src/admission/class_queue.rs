use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use super::OrderKind;
use super::lateness_limits::LatenessLimits;
use super::waiting::Waiting;
use super::workspace_usage::WorkspaceUsage;
use crate::Timestamp;
use crate::id::{StreamId, WorkspaceName};

/// Waiting requests of one class, by deadline and by arrival.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    by_deadline: BTreeMap<(Timestamp, StreamId), Waiting>,
    /// Deadlines by arrival.
    arrivals: BTreeMap<(Timestamp, StreamId), Timestamp>,
}

impl ClassQueue {
    pub(super) fn len(&self) -> usize {
        self.by_deadline.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_deadline.is_empty()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let id = waiting.ticket.id;
        self.arrivals.insert((waiting.arrived, id), waiting.ticket.deadline);
        self.by_deadline.insert((waiting.ticket.deadline, id), waiting);
    }

    pub(super) fn remove(&mut self, deadline: Timestamp, id: StreamId) -> Option<Waiting> {
        let waiting = self.by_deadline.remove(&(deadline, id))?;
        self.arrivals.remove(&(waiting.arrived, id));
        Some(waiting)
    }

    pub(super) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.by_deadline.first_key_value().map(|it| it.0.0)
    }

    pub(super) fn latest_deadline(&self) -> Option<Timestamp> {
        self.by_deadline.last_key_value().map(|it| it.0.0)
    }

    pub(super) fn earliest_arrival(&self) -> Option<Timestamp> {
        self.arrivals.first_key_value().map(|it| it.0.0)
    }

    /// Arrivals after `time`, the earliest first.
    pub(super) fn arrivals_after(&self, time: Timestamp) -> impl Iterator<Item = Timestamp> {
        self.arrivals.keys().map(|it| it.0).filter(move |it| *it > time)
    }

    /// Removes and returns the requests that are late.
    pub(super) fn take_late(&mut self, limits: &LatenessLimits) -> Vec<Waiting> {
        let mut late = Vec::new();
        while let Some((&(first, id), _)) = self.by_deadline.first_key_value()
            && first < limits.deadline
        {
            late.extend(self.remove(first, id));
        }
        while let Some((&(first, id), &deadline)) = self.arrivals.first_key_value()
            && limits.arrival.is_some_and(|it| first < it)
        {
            late.extend(self.remove(deadline, id));
        }
        late
    }

    /// The request with the earliest deadline among those that arrived by `latest_arrival`.
    pub(super) fn most_urgent(&self, latest_arrival: Timestamp) -> Option<&Waiting> {
        self.by_deadline.values().find(|it| it.arrived <= latest_arrival)
    }

    /// The request to run next among those that arrived by `latest_arrival`: of the workspace with
    /// the least usage, then by `order`.
    pub(super) fn best(
        &self,
        latest_arrival: Timestamp,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
    ) -> Option<StreamId> {
        let startable = self.by_deadline.values().filter(|it| it.arrived <= latest_arrival);
        let rated =
            startable.map(|it| (usage.get(now, it.ticket.importance, &it.ticket.workspace), it));
        let best = rated
            .max_by(|(a_used, a), (b_used, b)| b_used.total_cmp(a_used).then(compare(order, a, b)));
        best.map(|(_, it)| it.ticket.id)
    }

    /// The request to shed first: of the workspace with the most usage plus waiting requests, then the
    /// last one by `order`.
    pub(super) fn worst(
        &self,
        now: Timestamp,
        usage: &WorkspaceUsage,
        order: OrderKind,
    ) -> Option<StreamId> {
        let mut load_by_workspace: HashMap<&WorkspaceName, f64> = HashMap::new();
        for it in self.by_deadline.values() {
            let workspace = &it.ticket.workspace;
            let used = || usage.get(now, it.ticket.importance, workspace);
            *load_by_workspace.entry(workspace).or_insert_with(used) += 1.0;
        }
        let rated = self.by_deadline.values().map(|it| {
            (load_by_workspace.get(&it.ticket.workspace).copied().unwrap_or_default(), it)
        });
        let worst = rated
            .max_by(|(a_load, a), (b_load, b)| a_load.total_cmp(b_load).then(compare(order, b, a)));
        worst.map(|(_, it)| it.ticket.id)
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

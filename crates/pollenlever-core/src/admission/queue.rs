use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::OrderKind;
use super::customer_usage::CustomerUsage;
use super::waiting::Waiting;
use crate::Timestamp;
use crate::id::{CustomerId, StreamId};

/// Requests that wait for a slot, in order of arrival.
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

    /// Requests that go before one of this class, whatever their customer.
    pub(super) fn ahead_of(&self, waiting: &Waiting) -> usize {
        self.items.iter().filter(|it| it.class() > waiting.class()).count()
    }

    pub(super) fn max_depth(&self) -> u8 {
        self.items.iter().map(|it| it.ticket.depth).max().unwrap_or_default()
    }

    /// Takes out all requests for which `is_late` holds.
    pub(super) fn take_late(&mut self, is_late: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        self.items.extract_if(.., |it| is_late(it)).collect()
    }

    /// The deeper call that runs next, if no new chain is more important: the most important of
    /// those that are urgent, else the one with the earliest deadline.
    pub(super) fn next_deep(
        &self,
        has_room: impl Fn(&Waiting) -> bool,
        is_urgent: impl Fn(&Waiting) -> bool,
    ) -> Option<StreamId> {
        let top = |deep: bool| {
            let startable = self.items.iter().filter(|it| has_room(it));
            let class = startable.filter(|it| (it.ticket.depth > 0) == deep);
            class.map(|it| it.ticket.importance).max()
        };
        if top(true) < top(false) {
            return None;
        }
        let deep = || self.items.iter().filter(|it| it.ticket.depth > 0 && has_room(it));
        let urgent = deep().filter(|it| is_urgent(it)).max_by_key(|it| it.class());
        let next = urgent.or_else(|| deep().min_by_key(|it| it.ticket.deadline));
        next.map(|it| it.ticket.id)
    }

    /// Takes the request that runs next, of those that `has_room` holds for: highest class, then the customer with the least usage,
    /// then by `order`.
    pub(super) fn pop_best(
        &mut self,
        now: Timestamp,
        usage: &CustomerUsage,
        order: OrderKind,
        has_room: impl Fn(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let startable = self.items.iter().filter(|it| has_room(it));
        let class = startable.map(Waiting::class).max()?;
        let used = |it: &Waiting| usage.get(now, it.ticket.importance, &it.ticket.customer);
        let candidates = self.items.iter().enumerate().filter(|(_, it)| it.class() == class);
        let best = candidates.max_by(|(_, a), (_, b)| {
            used(b).total_cmp(&used(a)).then_with(|| compare(order, a, b))
        });
        let index = best?.0;
        Some(self.items.remove(index))
    }

    /// Takes the request that is shed first: lowest class, then the customer with the most usage
    /// and waiting requests, then against `order`.
    pub(super) fn pop_worst(
        &mut self,
        now: Timestamp,
        usage: &CustomerUsage,
        order: OrderKind,
    ) -> Option<Waiting> {
        let class = self.items.iter().map(Waiting::class).min()?;
        let mut shares: BTreeMap<CustomerId, f64> = BTreeMap::new();
        for it in self.items.iter().filter(|it| it.class() == class) {
            let used = usage.get(now, it.ticket.importance, &it.ticket.customer);
            *shares.entry(it.ticket.customer.clone()).or_insert(used) += 1.0;
        }
        let share = |it: &Waiting| shares.get(&it.ticket.customer).copied().unwrap_or_default();
        let candidates = self.items.iter().enumerate().filter(|(_, it)| it.class() == class);
        let worst = candidates.max_by(|(_, a), (_, b)| {
            share(a).total_cmp(&share(b)).then_with(|| compare(order, b, a))
        });
        let index = worst?.0;
        Some(self.items.remove(index))
    }
}

/// Greater is better.
fn compare(order: OrderKind, a: &Waiting, b: &Waiting) -> Ordering {
    let by_age = (b.arrived, b.ticket.id).cmp(&(a.arrived, a.ticket.id));
    match order {
        OrderKind::ChainHash => a.hash.cmp(&b.hash).then(by_age),
        OrderKind::Fifo => by_age,
        OrderKind::Lifo => by_age.reverse(),
    }
}

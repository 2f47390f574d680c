use std::collections::HashMap;

use super::quota_bucket::QuotaBucket;
use super::{
    DelegatedShard, GRANT_LIFETIME, GrantId, QuotaSettings, ShareDelegation, ShareUnits,
    TICKET_LIFETIME, TOTAL_UNITS, Ticket, TokenGrant, TokenRequest,
};
use crate::Timestamp;
use crate::id::{Incarnation, NodeName};

/// Units that holders delegate to this node for one shard, and the buckets of its workspaces.
#[derive(Debug, Default)]
pub(super) struct ShardPool {
    delegations: HashMap<NodeName, HeldDelegation>,
    /// Sum of the delegated units.
    units: ShareUnits,
    /// End of the delegation that ends first.
    next_end: Option<Timestamp>,
    /// Last time at which units were added.
    grown: Option<Timestamp>,
    pub(super) buckets: Vec<QuotaBucket>,
}

/// Last delegation that was taken from a holder. It is kept until its end also without units, so
/// that an older message is recognized; after that, the tickets of older messages have expired.
#[derive(Debug, Clone, Copy)]
struct HeldDelegation {
    incarnation: Incarnation,
    sequence: u64,
    units: ShareUnits,
    end: Timestamp,
}

impl ShardPool {
    /// Takes part of a delegation that reached the process `me`.
    pub(super) fn on_delegation(
        &mut self,
        now: Timestamp,
        me: Incarnation,
        delegation: &ShareDelegation,
        part: &DelegatedShard,
    ) {
        self.advance(now);
        let held = self.delegations.get(&delegation.holder);
        let is_same = held.is_some_and(|it| it.incarnation == delegation.incarnation);
        if is_same && held.is_some_and(|it| delegation.sequence <= it.sequence) {
            return;
        }
        let end = part.ticket.and_then(|it| end_of(now, me, it));
        let Some(end) = end.or(held.filter(|_| is_same).map(|it| it.end)) else { return };
        let has_ticket = part.ticket.is_some_and(|it| end_of(now, me, it).is_some());
        let held = HeldDelegation {
            incarnation: delegation.incarnation,
            sequence: delegation.sequence,
            units: if has_ticket { part.units.min(TOTAL_UNITS) } else { 0 },
            end,
        };
        self.delegations.insert(delegation.holder.clone(), held);
        self.recount(now);
    }

    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        index: usize,
        id: GrantId,
        req: &TokenRequest,
        settings: &QuotaSettings,
    ) -> TokenGrant {
        self.advance(now);
        // While units are new here, tokens granted from them elsewhere may still be used.
        let is_settled = self.grown.is_none_or(|it| now >= it + GRANT_LIFETIME);
        let bucket = &mut self.buckets[index];
        bucket.refill(now, self.units);
        if let Some(returned) = req.returned.filter(|_| is_settled) {
            bucket.take_back(now, self.units, returned);
        }
        bucket.grant(now, id, self.units, req, settings)
    }

    /// Refills all buckets until now.
    pub(super) fn refill_all(&mut self, now: Timestamp) {
        self.advance(now);
        for bucket in &mut self.buckets {
            bucket.refill(now, self.units);
        }
    }

    /// Units that are delegated now.
    pub(super) fn units_at(&mut self, now: Timestamp) -> ShareUnits {
        self.advance(now);
        self.units
    }

    /// Holders that delegate units, by name.
    pub(super) fn holders(&self) -> Vec<(NodeName, ShareUnits)> {
        let holders = self.delegations.iter().map(|(name, it)| (name.clone(), it.units));
        let mut holders: Vec<_> = holders.filter(|it| it.1 > 0).collect();
        holders.sort_unstable();
        holders
    }

    /// Ends the delegations whose time has come, each at its own time.
    fn advance(&mut self, now: Timestamp) {
        while let Some(end) = self.next_end.filter(|it| *it <= now) {
            self.delegations.retain(|_, it| it.end > end);
            self.recount(end);
        }
    }

    /// Counts the units anew, and settles all buckets if they differ.
    fn recount(&mut self, now: Timestamp) {
        self.next_end = self.delegations.values().map(|it| it.end).min();
        let sum = self.delegations.values().map(|it| it.units).fold(0, ShareUnits::saturating_add);
        let units = sum.min(TOTAL_UNITS);
        if units == self.units {
            return;
        }
        for bucket in &mut self.buckets {
            bucket.refill(now, self.units);
            bucket.limit_to(units);
        }
        if units > self.units {
            self.grown = Some(now);
        }
        self.units = units;
    }
}

/// End of a delegation with `ticket`; `None` if the ticket is not of this process or has expired.
fn end_of(now: Timestamp, me: Incarnation, ticket: Ticket) -> Option<Timestamp> {
    let end = ticket.issued + TICKET_LIFETIME;
    (ticket.incarnation == me && ticket.issued <= now && now < end).then_some(end)
}

use super::home_link::HomeLink;
use super::{QuotaSettings, ShareUnits, Ticket};
use crate::Timestamp;
use crate::id::NodeId;

/// Delegations of the units of one shard: to its present home, and to earlier ones until they have
/// certainly ended.
#[derive(Debug, Default)]
pub(super) struct ShardDelegations {
    current: Option<HomeLink>,
    /// Number of the first message since the present home was chosen.
    chosen_sequence: u64,
    ending: Vec<HomeLink>,
}

impl ShardDelegations {
    /// Makes `home` the present home; `None` ends all delegations. `next_sequence` is the number of
    /// the next message.
    pub(super) fn set_home(&mut self, now: Timestamp, home: Option<NodeId>, next_sequence: u64) {
        self.ending.retain(|it| it.units_in_force(now) > 0);
        if self.current.as_ref().map(|it| it.home) == home {
            return;
        }
        self.ending.extend(self.current.take().filter(|it| it.units_in_force(now) > 0));
        let Some(home) = home else { return };
        self.chosen_sequence = next_sequence;
        let earlier = self.ending.iter().position(|it| it.home == home);
        self.current = Some(match earlier {
            Some(at) => self.ending.swap_remove(at),
            None => HomeLink::new(home, next_sequence),
        });
    }

    /// Highest number of units that are in the pools of homes now.
    pub(super) fn units_in_force(&self, now: Timestamp) -> ShareUnits {
        let links = self.ending.iter().chain(&self.current);
        links.map(|it| it.units_in_force(now)).fold(0, ShareUnits::saturating_add)
    }

    /// Homes to which a message is due if `units` may be delegated.
    pub(super) fn due_homes(
        &self,
        now: Timestamp,
        units: ShareUnits,
        settings: &QuotaSettings,
    ) -> impl Iterator<Item = NodeId> {
        let current_units = self.current_units(units);
        let current = self.current.iter().filter(move |it| it.is_due(now, current_units, settings));
        let ending = self.ending.iter().filter(move |it| it.is_due(now, 0, settings));
        current.chain(ending).map(|it| it.home)
    }

    /// Records a message to `home` and returns what it says; `None` if the shard has no delegation
    /// there.
    pub(super) fn record_sent(
        &mut self,
        now: Timestamp,
        home: NodeId,
        sequence: u64,
        units: ShareUnits,
    ) -> Option<(ShareUnits, Option<Ticket>)> {
        let current_units = self.current_units(units);
        if let Some(link) = self.current.as_mut().filter(|it| it.home == home) {
            return Some(link.record_sent(now, sequence, current_units));
        }
        let link = self.ending.iter_mut().find(|it| it.home == home)?;
        Some(link.record_sent(now, sequence, 0))
    }

    pub(super) fn on_reply(&mut self, now: Timestamp, home: NodeId, sequence: u64, ticket: Ticket) {
        if let Some(link) = self.current.as_mut().filter(|it| it.home == home) {
            let is_valid = link.on_reply(now, sequence, ticket);
            if is_valid && sequence >= self.chosen_sequence {
                // A process that replies to a message of now shows that others at its address have
                // ended. A late reply could come from an earlier process.
                self.ending.retain(|it| it.home.addr != home.addr);
            }
        } else if let Some(link) = self.ending.iter_mut().find(|it| it.home == home) {
            link.on_reply(now, sequence, ticket);
        }
    }

    /// Units for the present home: none until all earlier delegations have ended.
    fn current_units(&self, units: ShareUnits) -> ShareUnits {
        if self.ending.is_empty() { units } else { 0 }
    }
}

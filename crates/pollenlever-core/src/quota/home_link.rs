use std::time::Duration;

use super::{QuotaSettings, ShareUnits, TICKET_LIFETIME, Ticket};
use crate::Timestamp;
use crate::id::NodeId;

/// Time that a holder waits beyond the end of a delegation, for clocks that run at different speeds.
pub(super) const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// What a holder knows of its delegation of one shard to one home.
#[derive(Debug)]
pub(super) struct HomeLink {
    pub(super) home: NodeId,
    /// Number of the first message of this link. Replies to earlier ones are ignored: their tickets
    /// may be older than those of messages under way, and the home recognizes a late message only
    /// until the newest ticket has expired.
    first_sequence: u64,
    ticket: Option<HeldTicket>,
    /// Last message that the home has confirmed.
    confirmed: Option<SentUnits>,
    confirmed_at: Timestamp,
    /// Messages after it, oldest first.
    unconfirmed: Vec<SentUnits>,
    /// Time of the last message and the units that it was to delegate.
    last_sent: Option<(Timestamp, ShareUnits)>,
}

#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    ticket: Ticket,
    /// Time of receipt on this node's clock; the home issued the ticket before.
    received: Timestamp,
}

#[derive(Debug, Clone, Copy)]
struct SentUnits {
    sequence: u64,
    units: ShareUnits,
    /// Time at which the delegation has certainly ended at the home.
    until: Timestamp,
}

impl HomeLink {
    pub(super) fn new(home: NodeId, first_sequence: u64) -> HomeLink {
        HomeLink {
            home,
            first_sequence,
            ticket: None,
            confirmed: None,
            confirmed_at: Timestamp::ZERO,
            unconfirmed: Vec::new(),
            last_sent: None,
        }
    }

    /// Highest number of units that the home may have in its pool now.
    pub(super) fn units_in_force(&self, now: Timestamp) -> ShareUnits {
        let sent = self.unconfirmed.iter().chain(&self.confirmed);
        sent.filter(|it| it.until > now).map(|it| it.units).max().unwrap_or(0)
    }

    /// Whether a message with `units` is due.
    pub(super) fn is_due(
        &self,
        now: Timestamp,
        units: ShareUnits,
        settings: &QuotaSettings,
    ) -> bool {
        let Some((sent_at, sent_units)) = self.last_sent else { return true };
        if sent_units != units {
            return true;
        }
        let (Some(confirmed), []) = (&self.confirmed, &self.unconfirmed[..]) else {
            return now >= sent_at + settings.resend_interval;
        };
        if confirmed.units != units {
            return true;
        }
        // If replies were lost, the confirmed ticket is older than usual, and the next renewal earlier.
        let interval = settings.renewal_interval;
        let renewal =
            (confirmed.until + 2 * interval).saturating_sub(TICKET_LIFETIME + CLOCK_MARGIN);
        now >= renewal.min(self.confirmed_at + interval)
    }

    /// Records a message and returns the ticket and units for it.
    pub(super) fn record_sent(
        &mut self,
        now: Timestamp,
        sequence: u64,
        units: ShareUnits,
    ) -> (ShareUnits, Option<Ticket>) {
        self.unconfirmed.retain(|it| it.until > now);
        self.last_sent = Some((now, units));
        let held = self.ticket.filter(|it| now < it.received + TICKET_LIFETIME);
        let units = if held.is_some() { units } else { 0 };
        let until = held.map_or(now, |it| it.received + TICKET_LIFETIME + CLOCK_MARGIN);
        self.unconfirmed.push(SentUnits { sequence, units, until });
        (units, held.map(|it| it.ticket))
    }

    /// Handles a reply. Returns whether it was sent by this home's process to this link.
    pub(super) fn on_reply(&mut self, now: Timestamp, sequence: u64, ticket: Ticket) -> bool {
        if sequence < self.first_sequence || ticket.incarnation != self.home.incarnation {
            return false;
        }
        if self.ticket.is_none_or(|it| it.ticket.issued < ticket.issued) {
            self.ticket = Some(HeldTicket { ticket, received: now });
        }
        if let Some(at) = self.unconfirmed.iter().position(|it| it.sequence == sequence) {
            self.confirmed = Some(self.unconfirmed[at]);
            self.confirmed_at = now;
            self.unconfirmed.drain(..=at);
        }
        true
    }
}

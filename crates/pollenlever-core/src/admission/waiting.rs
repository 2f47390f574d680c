use super::Ticket;
use super::chain_hash::chain_hash;
use crate::Timestamp;
use crate::config::Importance;

/// A ticket waiting in the queue for a slot.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) arrived: Timestamp,
    pub(super) hash: u64,
}

impl Waiting {
    pub(super) fn new(now: Timestamp, ticket: Ticket) -> Waiting {
        let hash = chain_hash(ticket.chain);
        Waiting { ticket, arrived: now, hash }
    }

    /// Class of the request; requests of a higher class run before those of a lower one.
    pub(super) fn class(&self) -> (Importance, u8) {
        (self.ticket.importance, self.ticket.depth)
    }
}

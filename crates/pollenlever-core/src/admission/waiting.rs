use super::Ticket;
use super::chain_hash::chain_hash;
use super::class::Class;
use crate::Timestamp;

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

    pub(super) fn class(&self) -> Class {
        Class { importance: self.ticket.importance, depth: self.ticket.depth }
    }
}

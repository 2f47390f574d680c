use bincode::{Decode, Encode};

use crate::Timestamp;
use crate::id::Incarnation;

/// Permission of a home to delegate units to it, valid for [`super::TICKET_LIFETIME`] after its issue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Ticket {
    /// Incarnation of the home that issued it.
    pub incarnation: Incarnation,
    /// Time of issue on the home's clock.
    pub issued: Timestamp,
}

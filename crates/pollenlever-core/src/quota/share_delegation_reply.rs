use bincode::{Decode, Encode};

use super::{ShardIndex, Ticket};

/// A home's reply to a delegation. It confirms that no older delegation of the same process can
/// take effect any more.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ShareDelegationReply {
    /// Number of the delegation that is replied to.
    pub sequence: u64,
    /// A new ticket for each shard of the delegation.
    pub tickets: Vec<(ShardIndex, Ticket)>,
}

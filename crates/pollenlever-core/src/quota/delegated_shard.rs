use bincode::{Decode, Encode};

use super::{ShardIndex, ShareUnits, Ticket};

/// Units that a holder delegates for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct DelegatedShard {
    /// The shard.
    pub shard: ShardIndex,
    /// All units that the home may pool for this holder; 0 withdraws the earlier ones.
    pub units: ShareUnits,
    /// Newest ticket of the home; `None` requests one, and the units do not count.
    pub ticket: Option<Ticket>,
}

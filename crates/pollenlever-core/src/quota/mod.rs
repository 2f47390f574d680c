//! Quotas of workspaces over all nodes together: shares of the right to admit requests, their
//! delegation to one home per shard, and the tokens that a home grants to nodes.
//!
//! All state machines here are free of I/O. docs/design/quota.md says what each part guarantees.

mod delegated_shard;
mod grant_id;
mod home_bucket;
mod home_link;
mod home_shard;
mod quota_bucket;
mod quota_home;
mod quota_settings;
mod reclaim_timer;
mod returned_tokens;
mod shard;
mod shard_delegations;
mod shard_pool;
mod share_delegation;
mod share_delegation_reply;
mod share_holder;
mod share_table;
mod take_result;
mod ticket;
mod token_grant;
mod token_permit;
mod token_request;
mod token_store;
mod usage;
mod workspace_tokens;

pub use delegated_shard::DelegatedShard;
pub use grant_id::GrantId;
pub use home_bucket::HomeBucket;
pub use home_shard::HomeShard;
pub use quota_home::QuotaHome;
pub use quota_settings::QuotaSettings;
pub use reclaim_timer::ReclaimTimer;
pub use returned_tokens::ReturnedTokens;
pub use shard::shard_of;
pub use share_delegation::ShareDelegation;
pub use share_delegation_reply::ShareDelegationReply;
pub use share_holder::ShareHolder;
pub use share_table::ShareTable;
pub use take_result::TakeResult;
pub use ticket::Ticket;
pub use token_grant::TokenGrant;
pub use token_permit::TokenPermit;
pub use token_request::TokenRequest;
pub use token_store::TokenStore;

use std::time::Duration;

/// Index of a shard of the workspaces.
pub type ShardIndex = u32;
/// Part of the right to admit requests, out of [`TOTAL_UNITS`].
pub type ShareUnits = u32;
/// Version of the share table in the store; grows with each write.
pub type TableRevision = u64;

/// Units of all nodes together; the same units apply to every workspace.
pub const TOTAL_UNITS: ShareUnits = 1_000_000;
/// Maximum number of nodes that hold units, so that the cost of delegation does not grow with the
/// fleet.
pub const MAX_HOLDERS: usize = 96;
/// Time after the issue of a ticket for which a delegation with it is in force. The same on all nodes.
/// Tokens are refused for as long after the loss of a home and after a restart of all nodes; a shorter time
/// needs more messages.
pub const TICKET_LIFETIME: Duration = Duration::from_millis(1200);
/// Time after the sending of a token request until which its grant may be used. The same on all
/// nodes.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(500);

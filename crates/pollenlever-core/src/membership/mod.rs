//! Membership of nodes by gossip, with failure detection.
//!
//! Every node keeps a table of all members. Only the node itself changes its entry, and raises the
//! entry's version each time; others may only mark it as suspect or gone. Changes are pushed over
//! the links of an overlay. Nodes also compare digests of their tables to repair lost updates.

mod change;
mod digest;
mod exchange;
mod failure_detector;
mod gossip_message;
mod health;
mod inbox;
mod member;
mod member_table;
mod membership;
mod membership_action;
mod membership_event;
mod membership_settings;
mod merging;
mod outbox;
mod overlay;
mod periodic_work;
mod rendezvous;
mod seed_list;

pub use change::{Change, Stamp};
pub use digest::{BucketId, Digest, address_hash};
pub use gossip_message::{GossipMessage, GossipPurpose};
pub use health::Health;
pub use member::{Member, TargetState};
pub use member_table::{MemberTable, MergeResult};
pub use membership::Membership;
pub use membership_action::MembershipAction;
pub use membership_event::MembershipEvent;
pub use membership_settings::MembershipSettings;
pub use overlay::{Link, Overlay};
pub use rendezvous::{highest_scores, rank};

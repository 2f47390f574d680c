//! Who the members are and how nodes learn of them.
//!
//! Every node keeps the whole table. Each entry is changed by its own node, which raises the
//! entry's version; others may only add that the node is suspect or gone. Changes are pushed over
//! the links of an overlay, and digests of the table repair what was lost.

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
mod rendezvous;
mod seed_list;
mod upkeep;

pub use change::{Change, Stamp};
pub use digest::{BucketId, Digest};
pub use gossip_message::{GossipMessage, GossipPurpose};
pub use health::Health;
pub use member::{Member, TargetState};
pub use member_table::{MemberTable, Merged};
pub use membership::Membership;
pub use membership_action::MembershipAction;
pub use membership_event::MembershipEvent;
pub use membership_settings::MembershipSettings;
pub use overlay::{Link, Overlay};
pub use rendezvous::highest_scores;

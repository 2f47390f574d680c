//! Distribution of accepted configurations to every node.
//!
//! A few members of each region watch the platform's store. They push new configurations over the
//! links of the membership overlay, and nodes compare digests to repair lost updates. A node
//! applies only higher versions than its own, whether they come from the store or from a peer.

mod config_message;
mod config_table;
mod rollout;
mod rollout_action;
mod rollout_event;
mod rollout_settings;

pub use config_message::ConfigMessage;
pub use config_table::{ConfigDigest, ConfigTable};
pub use rollout::Rollout;
pub use rollout_action::RolloutAction;
pub use rollout_event::RolloutEvent;
pub use rollout_settings::RolloutSettings;

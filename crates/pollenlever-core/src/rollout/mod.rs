//! How accepted configurations reach every node.
//!
//! A few members of each region watch the platform's store. What they learn is pushed over the
//! links of the membership overlay, and digests repair what was lost. A node applies only higher
//! versions, wherever they come from.

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

//! How accepted configurations reach every node.

mod config_message;

pub use config_message::ConfigMessage;

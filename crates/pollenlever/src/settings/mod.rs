//! Settings of the daemon, in INI.

pub mod ini;
mod parse;
mod policy_name;
mod settings;
mod settings_error;

pub use policy_name::PolicyName;
pub use settings::Settings;
pub use settings_error::SettingsError;

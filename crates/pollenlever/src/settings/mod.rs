//! Settings of a node, read from an INI file.

pub mod ini;
mod mesh_settings;
mod parse;
mod policy_name;
mod settings;
mod settings_error;

pub use mesh_settings::MeshSettings;
pub use policy_name::PolicyName;
pub use settings::Settings;
pub use settings_error::SettingsError;

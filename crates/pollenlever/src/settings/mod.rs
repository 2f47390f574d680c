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

/// Range of `memory_mb`. The process needs the lowest for itself and for answers, and a body of 4 MB.
const MEMORY_MB_RANGE: std::ops::RangeInclusive<usize> = 16..=1_000_000;
/// Range of `max_descriptors`. The node itself needs about the lowest.
const DESCRIPTORS_RANGE: std::ops::RangeInclusive<usize> = 128..=10_000_000;
const BYTES_PER_MB: usize = 1_000_000;

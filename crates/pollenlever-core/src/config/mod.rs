//! Configuration of services and kinds of request, as declared by operators in the manifest.

mod importance;
mod objective;
mod path_pattern;
mod request_kind;
mod service_config;

pub use importance::Importance;
pub use objective::Objective;
pub use path_pattern::PathPattern;
pub use request_kind::RequestKind;
pub use service_config::ServiceConfig;

/// Version of a service's configuration object in the platform's store.
pub type ConfigVersion = u64;

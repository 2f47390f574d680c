//! The manifest: an INI file, written by a build pipeline, that declares the regions, services and
//! kinds of request of a deployment.

mod coverage;
mod kind_reader;
mod manifest;
mod manifest_error;
mod parse;
mod service_reader;
mod values;

pub use manifest::Manifest;
pub use manifest_error::ManifestError;

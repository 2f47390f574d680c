//! The manifest: services and kinds of request in INI, written by a build pipeline.

mod coverage;
mod kind_reader;
mod manifest;
mod manifest_error;
mod parse;
mod service_reader;
mod values;

pub use manifest::Manifest;
pub use manifest_error::ManifestError;

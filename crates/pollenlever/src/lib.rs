//! Node daemon and operator tool of pollenlever.

pub mod cli;
pub mod control;
pub mod entry;
pub mod gate;
pub mod manifest;
pub mod mesh;
pub mod node;
pub mod peer;
pub mod ring;
pub mod settings;
pub mod store;
pub mod telemetry;
pub mod tool;

//! A small deployment of real processes on loopback addresses.

mod cluster;
mod cluster_error;
mod cluster_spec;
mod deployment;
mod machine;
mod machine_plan;
mod ports;
mod program;
mod publish;
mod service_spec;

pub use cluster::Cluster;
pub use cluster_error::ClusterError;
pub use cluster_spec::ClusterSpec;
pub use deployment::Deployment;
pub use machine::Machine;
pub use ports::Ports;
pub use program::Program;
pub use service_spec::ServiceSpec;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use super::DownstreamCall;

/// Options of a stand-in target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// HTTP address of the node beside the target.
    pub node: SocketAddr,
    /// Service of the target.
    pub service: String,
    /// Maximum number of requests that run concurrently; more wait.
    pub slots: usize,
    /// Maximum number of requests that run or wait; more are answered with 503.
    pub connections: usize,
    /// Time for which a request occupies a slot, not counting its downstream calls.
    pub service_time: Duration,
    /// Downstream calls that the target makes for each request.
    pub calls: Vec<DownstreamCall>,
    /// Number of immediate retries of a failed downstream call.
    pub retries: u32,
    /// Time over which a new target warms up.
    pub cold_time: Duration,
    /// Service time multiplier of a target that has just started; falls to 1 over `cold_time`.
    pub cold_factor: f64,
    /// File of the [`RunLog`](super::RunLog); it survives crashes of the process. `None` logs
    /// nothing.
    pub log: Option<PathBuf>,
}

impl Default for TargetOptions {
    fn default() -> TargetOptions {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        TargetOptions {
            listen: loopback(7200),
            node: loopback(7000),
            service: "default".to_owned(),
            slots: 36,
            connections: 300,
            service_time: Duration::from_millis(20),
            calls: Vec::new(),
            retries: 0,
            cold_time: Duration::ZERO,
            cold_factor: 1.0,
            log: None,
        }
    }
}

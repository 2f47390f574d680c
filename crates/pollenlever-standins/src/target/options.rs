use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use super::DownstreamCall;

/// Options of a stand-in target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Address to serve on.
    pub listen: SocketAddr,
    /// HTTP address of the node beside the target.
    pub node: SocketAddr,
    /// Service of the target.
    pub service: String,
    /// Requests that run at once; more wait.
    pub slots: usize,
    /// Requests that run or wait at once; more are answered 503.
    pub connections: usize,
    /// Time that a request holds a slot, without the calls that it makes.
    pub service_time: Duration,
    /// Calls that the target makes for each request.
    pub calls: Vec<DownstreamCall>,
    /// Times that a failed call is sent again at once.
    pub retries: u32,
    /// Time over which a new target warms up.
    pub cold_time: Duration,
    /// Factor on the service time of a wholly cold target.
    pub cold_factor: f64,
    /// File to which runs are logged; it outlives the process.
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

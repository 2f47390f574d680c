//! Stand-in for a target beside a node.

use std::error::Error;
use std::time::Duration;

use pollenlever_standins::target::{TargetOptions, serve};

mod flags {
    #![allow(missing_docs, unreachable_pub)] // xflags writes the items

    use std::net::SocketAddr;
    use std::path::PathBuf;

    use pollenlever_standins::target::DownstreamCall;

    xflags::xflags! {
        /// Serves as a target beside a node, with a run log and faults on demand.
        cmd target {
            /// Address to serve on.
            required --listen addr: SocketAddr
            /// HTTP address of the node beside the target.
            required --node addr: SocketAddr
            /// Service of the target.
            required --service name: String
            /// Requests that run at once.
            optional --slots n: usize
            /// Requests that run or wait at once.
            optional --connections n: usize
            /// Time in milliseconds that a request holds a slot.
            optional --service-ms ms: u64
            /// Call to make for each request, as `METHOD service/path`.
            repeated --call call: DownstreamCall
            /// Times that a failed call is sent again at once.
            optional --retries n: u32
            /// Time in milliseconds over which a new target warms up.
            optional --cold-ms ms: u64
            /// Factor on the service time of a wholly cold target.
            optional --cold-factor factor: f64
            /// File to which runs are logged.
            optional --log path: PathBuf
        }
    }
}

impl From<flags::Target> for TargetOptions {
    fn from(flags: flags::Target) -> TargetOptions {
        let default = TargetOptions::default();
        TargetOptions {
            listen: flags.listen,
            node: flags.node,
            service: flags.service,
            slots: flags.slots.unwrap_or(default.slots),
            connections: flags.connections.unwrap_or(default.connections),
            service_time: flags.service_ms.map_or(default.service_time, Duration::from_millis),
            calls: flags.call,
            retries: flags.retries.unwrap_or(default.retries),
            cold_time: flags.cold_ms.map_or(default.cold_time, Duration::from_millis),
            cold_factor: flags.cold_factor.unwrap_or(default.cold_factor),
            log: flags.log,
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = flags::Target::from_env_or_exit();
    let config = simplelog::Config::default();
    simplelog::WriteLogger::init(simplelog::LevelFilter::Warn, config, std::io::stderr())?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    Ok(runtime.block_on(serve(flags.into()))?)
}

use std::net::{Ipv4Addr, SocketAddr};
use std::thread::sleep;
use std::time::Duration;

use pollenlever::settings::Settings;
use pollenlever_core::config::{RequestKind, ServiceConfig};

use super::control_cost::ControlCost;
use super::simulated_fleet::SimulatedFleet;
use crate::cluster::Ports;
use crate::measure::MeasurementError;
use crate::measure::fleet::FleetNode;
use crate::store::{Store, StoreSettings};

/// Number of services with a configuration in force.
const SERVICE_COUNT: usize = 210;
/// Number of request kinds of each service.
const KINDS_PER_SERVICE: usize = 5;
/// Time for the node to join and to copy the whole member table.
const JOIN_TIME: Duration = Duration::from_secs(6);
/// Timeout of a request to the node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Cost of one real node whose member table has `members` entries, the others simulated.
///
/// # Errors
///
/// Any error of starting the processes, and an incomplete member table or set of configurations at
/// the end.
pub(super) fn full_size_cost(
    members: usize,
    ports: Ports,
    time: Duration,
) -> Result<ControlCost, MeasurementError> {
    let simulated_fleet =
        SimulatedFleet::start(members - 1, ports.relayed_peer(), service_configs())?;
    let store = Store::start(StoreSettings::default())?;
    let ip = Ipv4Addr::new(127, 200, 0, 1);
    let cfg = Settings {
        entry: SocketAddr::from((ip, ports.entry())),
        peer: SocketAddr::from((ip, ports.peer())),
        region: "region-0".to_owned(),
        zone: "region-0-0".to_owned(),
        target: SocketAddr::from((ip, ports.target())),
        store: store.addr(),
        seed_peers: vec![simulated_fleet.join_address()],
        log_level: "warn".to_owned(),
        ..Settings::default()
    };
    let folder = std::env::temp_dir().join(format!("pollenlever-full-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let node = FleetNode::start(&cfg, "node", &folder)?;
    let http = reqwest::blocking::Client::builder().timeout(REQUEST_TIMEOUT).build()?;
    sleep(Duration::from_secs(1));
    let status = node.status(&http).ok_or("the node does not answer")?;
    simulated_fleet.send_heartbeats_to(status.node.parse()?);
    sleep(JOIN_TIME);
    let node_ports = [ports.relayed_peer(), ports.peer()];
    let cost = ControlCost::measure_node(node.process.id(), &node_ports, time)?;
    let status = node.status(&http).ok_or("the node does not answer")?;
    let _ = std::fs::remove_dir_all(&folder);
    if status.members.len() != members || status.configs.len() != SERVICE_COUNT {
        let (members, configs) = (status.members.len(), status.configs.len());
        return Err(format!("the node knows {members} members and {configs} services").into());
    }
    Ok(cost)
}

/// Configurations of all services of the simulated fleet.
fn service_configs() -> Vec<ServiceConfig> {
    let kind = |index: usize| RequestKind {
        name: format!("kind-{index}").into(),
        path: format!("/kind-{index}/*").as_str().into(),
        ..RequestKind::default()
    };
    let service = |index: usize| ServiceConfig {
        service: format!("service-{index}").into(),
        version: index as u64 + 1,
        kinds: (0..KINDS_PER_SERVICE).map(kind).collect(),
        ..ServiceConfig::default()
    };
    (0..SERVICE_COUNT).map(service).collect()
}

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use pollenlever::settings::Settings;
use pollenlever::store::{StoreClient, SubmitSettings, submit};
use pollenlever_core::config::{ConfigVersion, ServiceConfig};

use super::FleetNode;
use crate::cluster::Ports;
use crate::measure::MeasurementError;
use crate::relay::{Links, Location, Relay};
use crate::store::{RunningStore, Store, StoreSettings};

/// Number of regions of a fleet.
const REGIONS: u8 = 2;
/// Number of availability zones in each region.
const ZONES: u8 = 3;
/// Machine number of the store.
const STORE_NUMBER: u8 = 250;
/// Timeout of a request to a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Parameters of a fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetSpec {
    /// Seed of the nodes' random number generators.
    pub(crate) seed: u64,
    /// Number of nodes for which the relay has routes; 0 for a fleet without a relay.
    pub(crate) relayed_nodes: usize,
}

/// Running nodes with a store and, if the spec asks for it, a relay between them.
pub(crate) struct Fleet {
    pub(crate) nodes: VecDeque<FleetNode>,
    pub(crate) store: RunningStore,
    spec: FleetSpec,
    ports: Ports,
    relay: Option<Relay>,
    folder: PathBuf,
    http: reqwest::blocking::Client,
    /// Number of nodes started so far, including those that have been removed.
    started_count: usize,
}

impl Fleet {
    /// Starts the store and the relay, but no node.
    pub(crate) fn new(spec: FleetSpec) -> Result<Fleet, MeasurementError> {
        let ports = Ports::new(std::process::id());
        let folder = std::env::temp_dir().join(format!("pollenlever-fleet-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let location = Location { region: 1, zone: 1 };
        let store_addr = location.addr(STORE_NUMBER, ports.store());
        let store = Store::start(StoreSettings { addr: store_addr, ..StoreSettings::default() })?;
        let relay = match spec.relayed_nodes {
            0 => None,
            count => Some(start_relay(count, ports, store_addr)?),
        };
        let http = reqwest::blocking::Client::builder().timeout(REQUEST_TIMEOUT).build()?;
        let nodes = VecDeque::new();
        Ok(Fleet { nodes, store, spec, ports, relay, folder, http, started_count: 0 })
    }

    /// Port on which nodes listen for their peers.
    pub(crate) fn peer_port(&self) -> u16 {
        self.ports.peer()
    }

    /// Links of the relay; `None` without a relay.
    pub(crate) fn links(&self) -> Option<&Links> {
        self.relay.as_ref().map(Relay::links)
    }

    /// Starts one more node, at an address that no earlier node of the fleet used.
    pub(crate) fn start_node(&mut self) -> Result<(), MeasurementError> {
        let (location, number) = location_and_number(self.started_count);
        let listen = location.addr(number, self.ports.peer());
        let is_relayed = self.relay.is_some();
        let advertise = is_relayed.then(|| location.addr(number, self.ports.relayed_peer()));
        let store = if is_relayed {
            store_location().addr(STORE_NUMBER, self.ports.relayed_peer())
        } else {
            self.store.addr()
        };
        let cfg = Settings {
            entry: location.addr(number, self.ports.entry()),
            peer: listen,
            advertise,
            region: format!("region-{}", location.region),
            zone: format!("zone-{}-{}", location.region, location.zone),
            target: location.addr(number, self.ports.target()),
            store,
            seed: Some(self.spec.seed.wrapping_add(self.started_count as u64)),
            log_level: "warn".to_owned(),
            ..Settings::default()
        };
        let name = format!("node-{}", self.started_count);
        self.nodes.push_back(FleetNode::start(&cfg, &name, &self.folder)?);
        self.started_count += 1;
        Ok(())
    }

    /// Starts nodes until there are `count`, and waits until each has all of them in its member
    /// table. Returns the time that it took.
    pub(crate) fn grow_to(&mut self, count: usize) -> Result<Duration, MeasurementError> {
        let start = Instant::now();
        while self.nodes.len() < count {
            self.start_node()?;
        }
        self.wait_until("the node knows all others", Duration::from_secs(30), |status| {
            status.members.len() == count
        })?;
        Ok(start.elapsed())
    }

    /// Waits until `condition` has been true for the status of each node, not necessarily at the
    /// same time. Returns the time that it took.
    ///
    /// # Errors
    ///
    /// An error with `what` after the time `within`.
    pub(crate) fn wait_until(
        &self,
        what: &str,
        within: Duration,
        condition: impl Fn(&pollenlever::control::ControlStatus) -> bool,
    ) -> Result<Duration, MeasurementError> {
        let start = Instant::now();
        let mut waiting_nodes: Vec<&FleetNode> = self.nodes.iter().collect();
        loop {
            waiting_nodes
                .retain(|it| !it.status(&self.http).is_some_and(|status| condition(&status)));
            if waiting_nodes.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > within {
                let remaining = waiting_nodes.len();
                return Err(
                    format!("waited {within:?} until {what}: failed on {remaining} nodes").into()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Submits a configuration and returns its version once it is accepted.
    pub(crate) fn submit(&self, cfg: &ServiceConfig) -> Result<ConfigVersion, MeasurementError> {
        let api = StoreClient::new(self.store.addr())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let id = format!("{}-{}", cfg.service, rand::random::<u64>());
        let accepted = runtime.block_on(submit(&api, cfg, &id, &SubmitSettings::default()))?;
        Ok(accepted.version)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn store_location() -> Location {
    Location { region: 1, zone: 1 }
}

/// Location and machine number of the `index`th node.
fn location_and_number(index: usize) -> (Location, u8) {
    let locations = usize::from(REGIONS * ZONES);
    let region = (index % usize::from(REGIONS)) as u8 + 1;
    let zone = (index / usize::from(REGIONS) % usize::from(ZONES)) as u8 + 1;
    (Location { region, zone }, (index / locations) as u8 + 1)
}

/// Starts a relay with routes to the peer ports of the first `count` nodes and to the store.
fn start_relay(count: usize, ports: Ports, store: SocketAddr) -> Result<Relay, MeasurementError> {
    let route = |index| {
        let (location, number) = location_and_number(index);
        (location.addr(number, ports.relayed_peer()), location.addr(number, ports.peer()))
    };
    let mut routes: Vec<(SocketAddr, SocketAddr)> = (0..count).map(route).collect();
    routes.push((store_location().addr(STORE_NUMBER, ports.relayed_peer()), store));
    Ok(Relay::start(&routes)?)
}

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use pollenlever::settings::Settings;
use pollenlever::store::{StoreClient, SubmitSettings, submit};
use pollenlever_core::config::{ConfigVersion, ServiceConfig};

use super::FleetNode;
use crate::cluster::Ports;
use crate::measure::MeasureError;
use crate::relay::{Links, Place, Relay};
use crate::store::{RunningStore, Store, StoreSettings};

/// Regions of a fleet.
const REGIONS: u8 = 2;
/// Availability zones a region.
const ZONES: u8 = 3;
/// Machine number of the store.
const STORE_NUMBER: u8 = 250;
/// Longest wait for an answer of a node.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Nodes to start.
#[derive(Debug, Clone)]
pub(crate) struct FleetSpec {
    /// Seed of the nodes' random choices.
    pub(crate) seed: u64,
    /// Nodes that the relay has links for; 0 for a fleet without a relay.
    pub(crate) relayed: usize,
}

/// Running nodes, the store beside them and, if wanted, a relay between them.
pub(crate) struct Fleet {
    pub(crate) nodes: VecDeque<FleetNode>,
    pub(crate) store: RunningStore,
    spec: FleetSpec,
    ports: Ports,
    relay: Option<Relay>,
    folder: PathBuf,
    http: reqwest::blocking::Client,
    started: usize,
}

impl Fleet {
    /// Starts the store and the relay, but no node.
    pub(crate) fn new(spec: FleetSpec) -> Result<Fleet, MeasureError> {
        let ports = Ports::new(std::process::id());
        let folder = std::env::temp_dir().join(format!("pollenlever-fleet-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let place = Place { region: 1, zone: 1 };
        let store_addr = place.addr(STORE_NUMBER, ports.store());
        let store = Store::start(StoreSettings { addr: store_addr, ..StoreSettings::default() })?;
        let relay = match spec.relayed {
            0 => None,
            count => Some(start_relay(count, ports, store_addr)?),
        };
        let http = reqwest::blocking::Client::builder().timeout(REQUEST_TIMEOUT).build()?;
        let nodes = VecDeque::new();
        Ok(Fleet { nodes, store, spec, ports, relay, folder, http, started: 0 })
    }

    /// Port on which nodes serve each other.
    pub(crate) fn peer_port(&self) -> u16 {
        self.ports.peer()
    }

    /// The links between the regions, if they go through the relay.
    pub(crate) fn links(&self) -> Option<&Links> {
        self.relay.as_ref().map(Relay::links)
    }

    /// Starts one more node, at an address that no node had before.
    pub(crate) fn start_node(&mut self) -> Result<(), MeasureError> {
        let (place, number) = position(self.started);
        let listen = place.addr(number, self.ports.peer());
        let is_relayed = self.relay.is_some();
        let advertise = is_relayed.then(|| place.addr(number, self.ports.relayed_peer()));
        let store = if is_relayed {
            store_place().addr(STORE_NUMBER, self.ports.relayed_peer())
        } else {
            self.store.addr()
        };
        let cfg = Settings {
            entry: place.addr(number, self.ports.entry()),
            peer: listen,
            advertise,
            region: format!("region-{}", place.region),
            zone: format!("zone-{}-{}", place.region, place.zone),
            target: place.addr(number, self.ports.target()),
            store,
            seed: Some(self.spec.seed.wrapping_add(self.started as u64)),
            log_level: "warn".to_owned(),
            ..Settings::default()
        };
        let name = format!("node-{}", self.started);
        self.nodes.push_back(FleetNode::start(&cfg, &name, &self.folder)?);
        self.started += 1;
        Ok(())
    }

    /// Starts nodes until there are `count`, and waits until each knows all of them.
    pub(crate) fn grow_to(&mut self, count: usize) -> Result<Duration, MeasureError> {
        let start = Instant::now();
        while self.nodes.len() < count {
            self.start_node()?;
        }
        self.wait_until("all nodes know each other", Duration::from_secs(30), |status| {
            status.members.len() == count
        })?;
        Ok(start.elapsed())
    }

    /// Waits until `holds` for the status of every node, and returns the time that it took.
    pub(crate) fn wait_until(
        &self,
        what: &str,
        within: Duration,
        holds: impl Fn(&pollenlever::control::ControlStatus) -> bool,
    ) -> Result<Duration, MeasureError> {
        let start = Instant::now();
        let mut waiting: Vec<&FleetNode> = self.nodes.iter().collect();
        loop {
            waiting.retain(|it| !it.status(&self.http).is_some_and(|status| holds(&status)));
            if waiting.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > within {
                let left = waiting.len();
                return Err(format!("{what}: {left} nodes do not after {within:?}").into());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Submits a configuration and returns its version once it is accepted.
    pub(crate) fn submit(&self, cfg: &ServiceConfig) -> Result<ConfigVersion, MeasureError> {
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

fn store_place() -> Place {
    Place { region: 1, zone: 1 }
}

/// Place and machine number of the `index`th node.
fn position(index: usize) -> (Place, u8) {
    let places = usize::from(REGIONS * ZONES);
    let region = (index % usize::from(REGIONS)) as u8 + 1;
    let zone = (index / usize::from(REGIONS) % usize::from(ZONES)) as u8 + 1;
    (Place { region, zone }, (index / places) as u8 + 1)
}

fn start_relay(count: usize, ports: Ports, store: SocketAddr) -> Result<Relay, MeasureError> {
    let route = |index| {
        let (place, number) = position(index);
        (place.addr(number, ports.relayed_peer()), place.addr(number, ports.peer()))
    };
    let mut routes: Vec<(SocketAddr, SocketAddr)> = (0..count).map(route).collect();
    routes.push((store_place().addr(STORE_NUMBER, ports.relayed_peer()), store));
    Ok(Relay::start(&routes)?)
}

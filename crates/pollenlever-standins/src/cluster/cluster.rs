use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use pollenlever::control::ControlStatus;
use pollenlever_core::config::ServiceConfig;

use super::machine::StartContext;
use super::machine_plan::MachinePlan;
use super::publish::publish;
use super::{ClusterError, ClusterSpec, Machine, Program};
use crate::relay::{Links, Location, Relay};
use crate::store::Faults as StoreFaults;
use crate::target::{Faults, RunLog, RunRecord};

/// Polling interval of [`Cluster::wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of HTTP requests to processes of the deployment.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Number in the folder name of the next deployment of this process.
static NEXT_FOLDER_NUMBER: AtomicU32 = AtomicU32::new(0);
/// Machine number of the store; above those of the machines, which count from 1.
const STORE_MACHINE_NUMBER: u8 = 250;

/// A running deployment: a store, and a node and a target for each machine.
///
/// Dropping it kills every process that it started.
#[derive(Debug)]
pub struct Cluster {
    /// The machines, in the order of the services in the [`ClusterSpec`].
    pub machines: Vec<Machine>,
    /// The store's process.
    pub store: Program,
    /// HTTP address of the store.
    pub store_addr: SocketAddr,
    spec: ClusterSpec,
    relay: Option<Relay>,
    folder: PathBuf,
    client: reqwest::blocking::Client,
}

impl Cluster {
    /// Starts all processes and waits until every node has all configurations and sees every target
    /// as ready or cold.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if a process cannot be started or the deployment is not ready in time.
    pub fn start(spec: ClusterSpec) -> Result<Cluster, ClusterError> {
        let folder = create_folder()?;
        let plans = MachinePlan::all(&spec);
        let relay = start_relay(&spec, &plans)?;
        let location = Location { region: 1, zone: 1 };
        let store_addr = location.addr(STORE_MACHINE_NUMBER, spec.ports.store());
        let args = ["--listen".to_owned(), store_addr.to_string()];
        let store = Program::start("pollenlever-store", &args, &folder.join("store.log"))?;
        let client = reqwest::blocking::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|err| ClusterError::request("create an HTTP client", err))?;
        let machines = Vec::new();
        let mut cluster = Cluster { machines, store, store_addr, spec, relay, folder, client };
        cluster.publish_configs()?;
        cluster.start_machines(&plans)?;
        cluster.wait_until_ready()?;
        Ok(cluster)
    }

    /// Configurations of all services, as published at the start.
    pub fn configs(&self) -> Vec<ServiceConfig> {
        self.spec.services.iter().map(|it| it.config.clone()).collect()
    }

    /// The links between nodes; `None` if nodes connect without the relay.
    pub fn links(&self) -> Option<&Links> {
        self.relay.as_ref().map(Relay::links)
    }

    /// Folder with the logs, settings and run logs of all processes.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// HTTP addresses of all nodes.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.machines.iter().map(|it| it.entry_addr).collect()
    }

    /// Run log records of all targets, by machine name.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if a log cannot be read.
    pub fn run_records(&self) -> Result<BTreeMap<String, Vec<RunRecord>>, ClusterError> {
        let read = |it: &Machine| {
            let records = RunLog::read(&it.run_log)
                .map_err(|err| ClusterError::process("read a run log", err))?;
            Ok((it.name.clone(), records))
        };
        self.machines.iter().map(read).collect()
    }

    /// Sets the faults of a machine's target.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the target does not answer.
    pub fn set_faults(&self, machine: &Machine, faults: &Faults) -> Result<(), ClusterError> {
        let url = format!("http://{}/_faults", machine.target_addr);
        let sent = self.client.post(url).json(faults).send();
        sent.and_then(|it| it.error_for_status())
            .map(drop)
            .map_err(|err| ClusterError::request("set faults", err))
    }

    /// Sets the faults of the store.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the store does not answer.
    pub fn set_store_faults(&self, faults: &StoreFaults) -> Result<(), ClusterError> {
        let url = format!("http://{}/v1/faults", self.store_addr);
        let sent = self.client.post(url).json(faults).send();
        sent.and_then(|it| it.error_for_status())
            .map(drop)
            .map_err(|err| ClusterError::request("set faults of the store", err))
    }

    /// Members and configurations that a machine's node knows.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the node does not answer.
    pub fn status(&self, machine: &Machine) -> Result<ControlStatus, ClusterError> {
        let url = format!("http://{}/pollenlever/v1/status", machine.entry_addr);
        let sent = self.client.get(url).send();
        sent.and_then(|it| it.error_for_status())
            .and_then(|it| it.json())
            .map_err(|err| ClusterError::request("read a node's status", err))
    }

    /// Polls until `done` returns true.
    ///
    /// # Errors
    ///
    /// [`ClusterError::Timeout`] with `what` if that takes longer than `within`.
    pub fn wait_until(
        &self,
        what: &str,
        within: Duration,
        mut done: impl FnMut() -> bool,
    ) -> Result<(), ClusterError> {
        let start = Instant::now();
        while !done() {
            if start.elapsed() > within {
                let logs = self.folder.clone();
                return Err(ClusterError::Timeout { what: what.to_owned(), within, logs });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn publish_configs(&self) -> Result<(), ClusterError> {
        let client = self.client.clone();
        let url = format!("http://{}/v1/counters", self.store_addr);
        let up = || client.get(&url).send().is_ok();
        self.wait_until("start of the store", self.spec.start_timeout, up)?;
        publish(self.store_addr, &self.configs())
    }

    fn start_machines(&mut self, plans: &[MachinePlan]) -> Result<(), ClusterError> {
        let peer_port = if self.spec.uses_relay {
            self.spec.ports.relayed_peer()
        } else {
            self.spec.ports.peer()
        };
        let seeds: Vec<SocketAddr> =
            plans.iter().take(3).map(|it| it.location.addr(it.number, peer_port)).collect();
        let (spec, store) = (&self.spec, self.store_addr);
        let context = StartContext { spec, store, seeds: &seeds, folder: &self.folder };
        for plan in plans {
            let machine = Machine::start(&context, plan)?;
            self.machines.push(machine);
        }
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), ClusterError> {
        let services = self.spec.services.len();
        let is_ready = |machine: &Machine| {
            self.status(machine).is_ok_and(|status| {
                let serving = status.members.iter().filter(|it| is_serving(&it.state)).count();
                serving == self.machines.len() && status.configs.len() == services
            })
        };
        let mut waiting: Vec<&Machine> = self.machines.iter().collect();
        self.wait_until("readiness of all nodes", self.spec.start_timeout, || {
            waiting.retain(|it| !is_ready(it));
            waiting.is_empty()
        })
    }
}

fn is_serving(state: &str) -> bool {
    state == "ready" || state == "cold"
}

fn start_relay(spec: &ClusterSpec, plans: &[MachinePlan]) -> Result<Option<Relay>, ClusterError> {
    if !spec.uses_relay {
        return Ok(None);
    }
    let route = |it: &MachinePlan| {
        let listen = it.location.addr(it.number, spec.ports.relayed_peer());
        (listen, it.location.addr(it.number, spec.ports.peer()))
    };
    let routes: Vec<_> = plans.iter().map(route).collect();
    Ok(Some(Relay::start(&routes)?))
}

fn create_folder() -> Result<PathBuf, ClusterError> {
    let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("pollenlever-{}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let err = |err| ClusterError::process(format!("create {}", folder.display()), err);
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(err)?;
    }
    std::fs::create_dir_all(&folder).map_err(err)?;
    Ok(folder)
}

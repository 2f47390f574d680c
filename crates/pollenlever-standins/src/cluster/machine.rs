use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::machine_plan::MachinePlan;
use super::{ClusterError, ClusterSpec, Program, ServiceSpec};
use crate::relay::Location;

/// Parameters that the starts of all machines of a deployment share.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartContext<'a> {
    pub(super) spec: &'a ClusterSpec,
    pub(super) store: SocketAddr,
    pub(super) seeds: &'a [SocketAddr],
    pub(super) folder: &'a Path,
}

/// A simulated VM: a target and the node beside it, with their processes.
#[derive(Debug)]
pub struct Machine {
    /// Name in logs, such as `balance-1`.
    pub name: String,
    /// Service of the target.
    pub service: String,
    /// Region and zone of the machine.
    pub location: Location,
    /// Address at which the node accepts requests.
    pub entry_addr: SocketAddr,
    /// Peer address of the node that other nodes connect to: the relay's, if there is one.
    pub peer_addr: SocketAddr,
    /// HTTP address of the target.
    pub target_addr: SocketAddr,
    /// The node's process.
    pub node_process: Program,
    /// The target's process.
    pub target_process: Program,
    /// File of the target's [`RunLog`](crate::target::RunLog).
    pub run_log: PathBuf,
    node_args: Vec<String>,
    target_args: Vec<String>,
    folder: PathBuf,
}

impl Machine {
    pub(super) fn start(
        context: &StartContext<'_>,
        plan: &MachinePlan,
    ) -> Result<Machine, ClusterError> {
        let StartContext { spec, store, seeds, folder } = *context;
        let MachinePlan { service, index, location, number } = *plan;
        let service = &spec.services[service];
        let name = format!("{}-{index}", service.config.service);
        let entry_addr = location.addr(number, spec.ports.entry());
        let listen = location.addr(number, spec.ports.peer());
        let peer_addr =
            if spec.uses_relay { location.addr(number, spec.ports.relayed_peer()) } else { listen };
        let target_addr = location.addr(number, spec.ports.target());
        let run_log = folder.join(format!("{name}.runs"));
        let settings = folder.join(format!("{name}.ini"));
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[node]\nentry = {entry_addr}\npeer = {listen}\nadvertise = {peer_addr}\nregion = {}\n\
             zone = {}\n\n[target]\naddress = {target_addr}\n\n[store]\naddress = {store}\n\n\
             [peers]\nseeds = {}\n\n[policy]\nname = {}\nseed = {}\n\n[log]\nlevel = info\n",
            spec.region_name(location),
            spec.zone_name(location),
            seeds.join(", "),
            spec.policy.as_str(),
            spec.seed.wrapping_add(u64::from(number)),
        );
        std::fs::write(&settings, text)
            .map_err(|err| ClusterError::process(format!("write {}", settings.display()), err))?;
        let node_args = vec!["--settings".to_owned(), settings.display().to_string()];
        let target_args = target_args(service, entry_addr, target_addr, &run_log);
        let node_process =
            Program::start("pollenleverd", &node_args, &folder.join(format!("{name}.node")))?;
        let target_log = folder.join(format!("{name}.target"));
        let target_process = Program::start("pollenlever-target", &target_args, &target_log)?;
        let service = service.config.service.to_string();
        Ok(Machine {
            name,
            service,
            location,
            entry_addr,
            peer_addr,
            target_addr,
            node_process,
            target_process,
            run_log,
            node_args,
            target_args,
            folder: folder.to_owned(),
        })
    }

    /// Restarts the node after it was killed; it gets a new incarnation (number that tells apart
    /// the processes that ran at one address).
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process cannot be started.
    pub fn restart_node(&mut self) -> Result<(), ClusterError> {
        let log = self.folder.join(format!("{}.node", self.name));
        self.node_process = Program::start("pollenleverd", &self.node_args, &log)?;
        Ok(())
    }

    /// Restarts the target after it was killed.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the process cannot be started.
    pub fn restart_target(&mut self) -> Result<(), ClusterError> {
        let log = self.folder.join(format!("{}.target", self.name));
        self.target_process = Program::start("pollenlever-target", &self.target_args, &log)?;
        Ok(())
    }
}

fn target_args(
    service: &ServiceSpec,
    node: SocketAddr,
    listen: SocketAddr,
    run_log: &Path,
) -> Vec<String> {
    let flags = [
        ("--listen", listen.to_string()),
        ("--node", node.to_string()),
        ("--service", service.config.service.to_string()),
        ("--slots", service.config.slots.to_string()),
        ("--connections", service.config.connections.to_string()),
        ("--service-ms", service.service_time.as_millis().to_string()),
        ("--retries", service.retries.to_string()),
        ("--cold-ms", service.cold_time.as_millis().to_string()),
        ("--cold-factor", service.cold_factor.to_string()),
        ("--log", run_log.display().to_string()),
    ];
    let calls = service.calls.iter().map(|it| ("--call", format!("{} {}", it.method, it.path)));
    flags.into_iter().chain(calls).flat_map(|(name, value)| [name.to_owned(), value]).collect()
}

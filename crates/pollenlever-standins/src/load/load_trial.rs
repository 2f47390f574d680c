use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::{LoadReport, LoadRun, LoadSpec, Phase, WorkspaceShare};
use crate::cluster::{Cluster, ClusterError, ClusterSpec, Deployment, Ports};
use crate::measure::MeasurementOptions;

/// Time for which a request occupies a slot at each service; long enough that the slots limit the
/// capacity, not the processors.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Distance between the deployment numbers of two trials, so that processes with similar ids that
/// run side by side do not use the same ports.
const PORT_STRIDE: u32 = 667;

/// Why a trial could not be run.
#[derive(Debug, thiserror::Error)]
pub enum LoadTrialError {
    /// The deployment failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The load could not be sent.
    #[error("cannot send the load: {0}")]
    Load(#[from] io::Error),
}

/// A running deployment under one policy, to which loads can be sent.
#[derive(Debug)]
pub struct LoadTrial {
    /// The running deployment.
    pub cluster: Cluster,
    /// Requests per second that the slots of the service with the least capacity can run.
    pub capacity: f64,
    options: MeasurementOptions,
}

impl LoadTrial {
    /// Starts the deployment of `options` under `policy`, after `customize` has changed its spec.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the deployment does not start.
    pub fn start(
        options: &MeasurementOptions,
        policy: PolicyName,
        customize: impl FnOnce(&mut ClusterSpec),
    ) -> Result<LoadTrial, ClusterError> {
        let mut spec = options.deployment.spec();
        spec.policy = policy;
        spec.seed = options.seed;
        spec.ports = take_ports();
        for service in &mut spec.services {
            service.service_time = SERVICE_TIME;
        }
        customize(&mut spec);
        let capacity = capacity(&spec);
        Ok(LoadTrial { cluster: Cluster::start(spec)?, capacity, options: *options })
    }

    /// Creates a load with these phases and the workspaces and network delay of this deployment.
    pub fn load_spec(&self, phases: Vec<Phase>) -> LoadSpec {
        let default = LoadSpec::default();
        let workspaces = match self.options.deployment {
            Deployment::Ferraresi => default.workspaces.clone(),
            Deployment::Vegmerking => ["sudurnes", "akureyri", "egilsstadir", "selfoss"]
                .map(|name| WorkspaceShare { name: name.to_owned(), weight: 1.0 })
                .to_vec(),
        };
        let network_delay = match self.options.deployment {
            Deployment::Ferraresi => Duration::from_millis(8),
            Deployment::Vegmerking => Duration::from_millis(3),
        };
        let configs = self.cluster.configs();
        LoadSpec {
            seed: self.options.seed,
            phases,
            workspaces,
            network_delay,
            service: configs[0].service.to_string(),
            depth: configs.len(),
            ..default
        }
    }

    /// Starts sending a load to the nodes of the service that it calls.
    ///
    /// # Errors
    ///
    /// Any error of starting the load.
    pub fn send(&self, spec: LoadSpec) -> io::Result<LoadRun> {
        let first = |it: &&crate::cluster::Machine| it.service == spec.service;
        let entries = self.cluster.machines.iter().filter(first).map(|it| it.entry_addr).collect();
        LoadRun::start(spec, entries)
    }

    /// Sends a load and waits until all its requests have ended.
    ///
    /// # Errors
    ///
    /// Any error of sending the load.
    pub fn run(&self, spec: LoadSpec) -> io::Result<LoadReport> {
        self.send(spec)?.finish()
    }
}

/// Returns ports that no earlier trial of this process has used.
fn take_ports() -> Ports {
    static TRIALS: AtomicU32 = AtomicU32::new(0);
    let trial = TRIALS.fetch_add(1, Ordering::Relaxed);
    Ports::new(std::process::id().wrapping_add(trial * PORT_STRIDE))
}

/// Requests per second that the slots of the service with the least capacity can run.
fn capacity(spec: &ClusterSpec) -> f64 {
    let capacity_of = |it: &crate::cluster::ServiceSpec| {
        f64::from(it.config.slots) * it.target_count as f64 / it.service_time.as_secs_f64()
    };
    spec.services.iter().map(capacity_of).fold(f64::INFINITY, f64::min)
}

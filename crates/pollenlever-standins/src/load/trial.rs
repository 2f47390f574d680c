use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::{CustomerShare, LoadReport, LoadRun, LoadSpec, Phase};
use crate::cluster::{Cluster, ClusterError, ClusterSpec, Deployment, Ports};
use crate::measure::MeasureOptions;

/// Time that a request holds a slot at each service, long enough that slots set the capacity and
/// not processors.
const SERVICE_TIME: Duration = Duration::from_millis(100);

/// Distance between the port numbers of two trials, so that deployments started side by side by
/// processes with near ids do not meet.
const PORT_STRIDE: u32 = 667;

/// Why a trial could not be run.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// The deployment failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The load could not be sent.
    #[error("cannot send the load: {0}")]
    Load(#[from] io::Error),
}

/// A deployment under one policy, ready for load.
#[derive(Debug)]
pub struct Trial {
    /// The running deployment.
    pub cluster: Cluster,
    /// Requests a second that the deepest service can run.
    pub capacity: f64,
    options: MeasureOptions,
}

impl Trial {
    /// Starts the deployment of `options` under `policy`, changed by `change`.
    ///
    /// # Errors
    ///
    /// [`ClusterError`] if the deployment does not start.
    pub fn start(
        options: &MeasureOptions,
        policy: PolicyName,
        change: impl FnOnce(&mut ClusterSpec),
    ) -> Result<Trial, ClusterError> {
        let mut spec = options.deployment.spec();
        spec.policy = policy;
        spec.seed = options.seed;
        spec.ports = next_ports();
        for service in &mut spec.services {
            service.service_time = SERVICE_TIME;
        }
        change(&mut spec);
        let capacity = capacity(&spec);
        Ok(Trial { cluster: Cluster::start(spec)?, capacity, options: *options })
    }

    /// Load with these phases, as callers of this deployment send it.
    pub fn load(&self, phases: Vec<Phase>) -> LoadSpec {
        let default = LoadSpec::default();
        let customers = match self.options.deployment {
            Deployment::Ferraresi => default.customers.clone(),
            Deployment::Vegmerking => ["sudurnes", "akureyri", "egilsstadir", "selfoss"]
                .map(|name| CustomerShare { name: name.to_owned(), weight: 1.0 })
                .to_vec(),
        };
        let delay = match self.options.deployment {
            Deployment::Ferraresi => Duration::from_millis(8),
            Deployment::Vegmerking => Duration::from_millis(3),
        };
        let configs = self.cluster.configs();
        LoadSpec {
            seed: self.options.seed,
            phases,
            customers,
            delay,
            service: configs[0].service.to_string(),
            depth: configs.len(),
            ..default
        }
    }

    /// Starts to send a load to the nodes of the first service.
    ///
    /// # Errors
    ///
    /// Any error of starting the load.
    pub fn send(&self, spec: LoadSpec) -> io::Result<LoadRun> {
        let first = |it: &&crate::cluster::Machine| it.service == spec.service;
        let entries = self.cluster.machines.iter().filter(first).map(|it| it.entry).collect();
        LoadRun::start(spec, entries)
    }

    /// Sends a load and waits for its last answer.
    ///
    /// # Errors
    ///
    /// Any error of sending the load.
    pub fn run(&self, spec: LoadSpec) -> io::Result<LoadReport> {
        self.send(spec)?.finish()
    }
}

/// Ports that no earlier trial of this process has used.
fn next_ports() -> Ports {
    static TRIALS: AtomicU32 = AtomicU32::new(0);
    let trial = TRIALS.fetch_add(1, Ordering::Relaxed);
    Ports::new(std::process::id().wrapping_add(trial * PORT_STRIDE))
}

/// Requests a second that the slots of the narrowest service can run.
fn capacity(spec: &ClusterSpec) -> f64 {
    let of = |it: &crate::cluster::ServiceSpec| {
        f64::from(it.config.slots) * it.targets as f64 / it.service_time.as_secs_f64()
    };
    spec.services.iter().map(of).fold(f64::INFINITY, f64::min)
}

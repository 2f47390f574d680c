use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern, RequestKind, ServiceConfig};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::config_history::{ConfigHistory, submit_changes};
use super::violations::{RETRY_BUDGET, Violations};
use super::workload::Workload;
use super::{PromisesTrialSettings, drain, fault_plan};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::measure::MeasurementError;
use crate::target::DownstreamCall;

/// Times that a target resends a failed call, whatever the failure.
const TARGET_RETRIES: u32 = 2;
/// Longest time from accepting a configuration to its being in force on all nodes.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(18);
/// Longest wait for the start of a deployment; long enough for a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between the last fault and the checks.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Requests and violations of one trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromisesTrial {
    /// Number of non-idempotent requests.
    pub order_count: usize,
    /// Number of chains of calls.
    pub chain_count: usize,
    /// Violations of the guarantees.
    pub violations: Violations,
    /// Newest accepted version of the configuration; `None` if no change was accepted.
    pub accepted_version: Option<u64>,
}

impl PromisesTrial {
    /// Runs a deployment under load and faults, drains its last machine, and compares the answers
    /// that callers received with the run logs of the targets.
    ///
    /// # Errors
    ///
    /// Any error that prevents the trial, and a timeout if the last accepted configuration is not
    /// in force on all nodes in time.
    pub fn run(settings: &PromisesTrialSettings) -> Result<PromisesTrial, MeasurementError> {
        let mut cluster = Cluster::start(spec(settings))?;
        let entries = cluster.entries();
        let store = cluster.store_addr;
        let stock = cluster.configs().pop().unwrap_or_default();
        let drained_index = cluster.machines.len() - 1;
        let (stop_callers, stop_polling) = (AtomicBool::new(false), AtomicBool::new(false));
        let mut rng = StdRng::seed_from_u64(settings.seed);

        let (workload, accepted_version, history, cut_in_flight) = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..settings.caller_count)
                .map(|number| {
                    let (entries, stop) = (&entries[..drained_index], &stop_callers);
                    scope.spawn(move || Workload::run(entries, settings.seed, number, stop))
                })
                .collect();
            let submitter = scope.spawn(|| submit_changes(store, &stock, &stop_callers));
            let watcher = scope.spawn(|| ConfigHistory::poll(&entries, &stop_polling));

            let faults =
                fault_plan::run(&mut cluster, &mut rng, drained_index, settings.fault_count);
            let interrupted_runs = faults.and_then(|()| drain::drain(&mut cluster, drained_index));
            std::thread::sleep(SETTLE_TIME);
            stop_callers.store(true, Ordering::Relaxed);
            let mut workload = Workload::default();
            for caller in callers {
                workload.merge(caller.join().map_err(|_| "a caller failed")??);
            }
            let accepted_version = submitter.join().map_err(|_| "the submitter failed")?;
            let in_force = accepted_version.map(|it| wait_in_force(&cluster, it, drained_index));
            stop_polling.store(true, Ordering::Relaxed);
            let history = watcher.join().map_err(|_| "the watcher failed")?;
            in_force.transpose()?;
            Ok::<_, MeasurementError>((workload, accepted_version, history, interrupted_runs?))
        })?;

        let records = cluster.run_records()?;
        let reverts = history.reverts;
        let violations =
            Violations { cut_in_flight, reverts, ..Violations::new(&workload, &records) };
        let (order_count, chain_count) = (workload.orders.len(), workload.chains.len());
        Ok(PromisesTrial { order_count, chain_count, violations, accepted_version })
    }
}

/// Waits until every node but the drained one has this version or a newer one in force.
fn wait_in_force(
    cluster: &Cluster,
    version: u64,
    drained_index: usize,
) -> Result<(), MeasurementError> {
    cluster.wait_until(
        "rollout of the last configuration to all nodes",
        ROLLOUT_TIMEOUT,
        || {
            cluster.machines[..drained_index].iter().all(|it| {
                let status = cluster.status(it);
                status.is_ok_and(|it| it.configs.get("stock").is_some_and(|it| *it >= version))
            })
        },
    )?;
    Ok(())
}

fn spec(settings: &PromisesTrialSettings) -> ClusterSpec {
    let call = DownstreamCall { method: "GET".to_owned(), path: "stock/read".to_owned() };
    let sheets = ServiceSpec {
        config: service("sheets"),
        target_count: 3,
        service_time: Duration::from_millis(10),
        calls: vec![call],
        retries: TARGET_RETRIES,
        ..ServiceSpec::default()
    };
    let stock = ServiceSpec {
        config: service("stock"),
        target_count: 4,
        calls: Vec::new(),
        retries: 0,
        ..sheets.clone()
    };
    let services = vec![sheets, stock];
    let PromisesTrialSettings { seed, policy, .. } = *settings;
    ClusterSpec {
        services,
        zones_per_region: 1,
        seed,
        policy,
        start_timeout: START_TIMEOUT,
        ..ClusterSpec::default()
    }
}

fn service(name: &str) -> ServiceConfig {
    let read = RequestKind {
        name: "read".into(),
        path: PathPattern::from("/read"),
        retry_budget: RETRY_BUDGET,
        ..RequestKind::default()
    };
    let order = RequestKind {
        name: "order".into(),
        method: "POST".to_owned(),
        path: PathPattern::from("/order"),
        importance: Importance::Critical,
        is_idempotent: false,
        retry_budget: RETRY_BUDGET,
        ..RequestKind::default()
    };
    let kinds = vec![read, order];
    ServiceConfig { service: name.into(), slots: 8, kinds, ..ServiceConfig::default() }
}

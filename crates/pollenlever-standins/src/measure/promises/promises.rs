use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern, RequestKind, ServiceConfig};
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::checks::{Checks, RETRY_BUDGET};
use super::config_history::{ConfigHistory, submit_changes};
use super::workload::Workload;
use super::{drain, fault_plan};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::measure::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::target::DownstreamCall;

/// Callers that send at once.
const CALLERS: u64 = 16;
/// Faults of one run.
const FAULTS: usize = 11;
/// Times that a target blindly resends a failed call.
const TARGET_RETRIES: u32 = 2;
/// Longest time from accepting a configuration to its being in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(18);
/// Pause between the last fault and the checks.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Retries, single runs, truthful answers, drain and configuration, under faults.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Promises;

impl Measurement for Promises {
    fn name(&self) -> &'static str {
        "promises"
    }

    fn summary(&self) -> &'static str {
        "real processes under kills, freezes, cuts and store outages: no violation of a promise"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let mut cluster = Cluster::start(spec(options))?;
        let entries = cluster.entries();
        let store = cluster.store_addr;
        let stock = cluster.configs().pop().unwrap_or_default();
        let drained = cluster.machines.len() - 1;
        let (callers_stop, stop) = (AtomicBool::new(false), AtomicBool::new(false));
        let mut rng = StdRng::seed_from_u64(options.seed);

        let (workload, accepted, history, cut_in_flight) = std::thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|number| {
                    let (entries, stop) = (&entries[..drained], &callers_stop);
                    scope.spawn(move || Workload::run(entries, options.seed, number, stop))
                })
                .collect();
            let submitter = scope.spawn(|| submit_changes(store, &stock, &callers_stop));
            let watcher = scope.spawn(|| ConfigHistory::watch(&entries, &stop));

            let faults = fault_plan::run(&mut cluster, &mut rng, drained, FAULTS);
            let cut = faults.and_then(|()| drain::drain(&mut cluster, drained));
            std::thread::sleep(SETTLE_TIME);
            callers_stop.store(true, Ordering::Relaxed);
            let mut workload = Workload::default();
            for caller in callers {
                workload.merge(caller.join().map_err(|_| "a caller failed")??);
            }
            let accepted = submitter.join().map_err(|_| "the submitter failed")?;
            let in_force = accepted.map(|it| wait_in_force(&cluster, it, drained));
            stop.store(true, Ordering::Relaxed);
            let history = watcher.join().map_err(|_| "the watcher failed")?;
            in_force.transpose()?;
            Ok::<_, MeasureError>((workload, accepted, history, cut?))
        })?;

        let records = cluster.run_records()?;
        let reverts = history.reverts;
        let checks = Checks { cut_in_flight, reverts, ..Checks::new(&workload, &records) };
        println!("newest accepted configuration: {accepted:?}");
        Ok(Verdict::new(checks.hold() && accepted.is_some())
            .figure("requests", workload.orders.len())
            .figure("chains", workload.chains.len())
            .figure("seeds", 1)
            .figure("run_twice", checks.run_twice)
            .figure("false_not_run", checks.false_not_run)
            .figure("over_budget", checks.over_budget)
            .figure("mixed_answers", checks.mixed_answers)
            .figure("cut_in_flight", checks.cut_in_flight)
            .figure("reverts", checks.reverts))
    }
}

/// Waits until every node but the drained one has a configuration in force.
fn wait_in_force(cluster: &Cluster, version: u64, drained: usize) -> Result<(), MeasureError> {
    cluster.wait_for("the last configuration in force on all nodes", CONFIG_LIMIT, || {
        cluster.machines[..drained].iter().all(|it| {
            let status = cluster.status(it);
            status.is_ok_and(|it| it.configs.get("stock").is_some_and(|it| *it >= version))
        })
    })?;
    Ok(())
}

fn spec(options: &MeasureOptions) -> ClusterSpec {
    let call = DownstreamCall { method: "GET".to_owned(), path: "stock/read".to_owned() };
    let sheets = ServiceSpec {
        config: service("sheets"),
        targets: 3,
        service_time: Duration::from_millis(10),
        calls: vec![call],
        retries: TARGET_RETRIES,
        ..ServiceSpec::default()
    };
    let stock = ServiceSpec {
        config: service("stock"),
        targets: 4,
        calls: Vec::new(),
        retries: 0,
        ..sheets.clone()
    };
    let services = vec![sheets, stock];
    let MeasureOptions { seed, policy, .. } = *options;
    ClusterSpec { services, zones: 1, seed, policy, ..ClusterSpec::default() }
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
        idempotent: false,
        retry_budget: RETRY_BUDGET,
        ..RequestKind::default()
    };
    let kinds = vec![read, order];
    ServiceConfig { service: name.into(), slots: 8, kinds, ..ServiceConfig::default() }
}

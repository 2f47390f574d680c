use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern, RequestKind, ServiceConfig};

use super::Step;
use crate::caller::{Call, Caller, Reply};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::target::{DownstreamCall, answer_line, is_complete_answer};

/// Number of requests that each step sends through each node.
const REQUESTS_PER_NODE: usize = 10;
/// Number of targets of each service.
const TARGETS: usize = 3;
/// Timeout of each request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a deployment, sends requests and prints the results. Returns whether every step
/// succeeded completely.
///
/// # Errors
///
/// Any error of starting the deployment or of reading the run logs.
pub fn run() -> Result<bool, Box<dyn Error>> {
    println!("Starting 2 services of {TARGETS} targets in 3 regions, with their nodes and a store");
    let cluster = Cluster::start(spec())?;
    println!("Logs are in {}\n", cluster.folder().display());
    let caller = Caller::new(ANSWER_TIMEOUT)?;
    let entries = cluster.entries();
    let steps = [
        check_chains(&caller, &entries),
        check_orders(&caller, &entries),
        check_resends(&caller, &entries),
        check_run_logs(&cluster)?,
    ];
    println!("{:<44}{:>6}{:>8}", "step", "sent", "whole");
    for step in &steps {
        println!("{step}");
    }
    Ok(steps.iter().all(Step::is_complete))
}

fn spec() -> ClusterSpec {
    let sheets = ServiceSpec {
        config: service("sheets"),
        target_count: TARGETS,
        service_time: Duration::from_millis(5),
        calls: vec![DownstreamCall { method: "GET".to_owned(), path: "stock/read".to_owned() }],
        ..ServiceSpec::default()
    };
    let stock = ServiceSpec { config: service("stock"), calls: Vec::new(), ..sheets.clone() };
    let regions = ["sudvestur", "nordur", "austur"].map(str::to_owned).to_vec();
    ClusterSpec {
        services: vec![sheets, stock],
        regions,
        zones_per_region: 1,
        ..ClusterSpec::default()
    }
}

fn service(name: &str) -> ServiceConfig {
    let read = RequestKind {
        name: "read".into(),
        path: PathPattern::from("/read"),
        ..RequestKind::default()
    };
    let order = RequestKind {
        name: "order".into(),
        method: "POST".to_owned(),
        path: PathPattern::from("/order"),
        importance: Importance::Critical,
        is_idempotent: false,
        ..RequestKind::default()
    };
    ServiceConfig { service: name.into(), kinds: vec![read, order], ..ServiceConfig::default() }
}

/// Sends calls that pass through both services, through each node in turn.
fn check_chains(caller: &Caller, entries: &[SocketAddr]) -> Step {
    let mut step = Step::new("chain of calls, sheets -> stock");
    for (n, node) in numbered_entries(entries) {
        let path = format!("/read?id=chain-{n}");
        let service_path = format!("sheets{path}");
        let reply = caller.call(node, &Call { path: &service_path, ..Call::default() });
        let line = answer_line("sheets", "GET", &path, b"");
        step.record(check_reply(reply.map_err(|it| it.to_string()), &line, 2));
    }
    step
}

/// Sends orders, which must run at most once.
fn check_orders(caller: &Caller, entries: &[SocketAddr]) -> Step {
    let mut step = Step::new("non-idempotent orders, each with a key");
    for (n, node) in numbered_entries(entries) {
        let reply = fetch_key(caller, node).and_then(|key| send_order(caller, node, n, &key));
        step.record(check_reply(reply, &order_line(n), 1));
    }
    step
}

/// Sends each order twice with the same key, the second time through another node: both answers
/// must be equal.
fn check_resends(caller: &Caller, entries: &[SocketAddr]) -> Step {
    let mut step = Step::new("orders resent through another node");
    let first = entries.len() * REQUESTS_PER_NODE;
    for (n, node) in numbered_entries(entries) {
        let n = first + n;
        let other = entries[(n + 1) % entries.len()];
        let result = fetch_key(caller, node).and_then(|key| {
            let reply = send_order(caller, node, n, &key)?;
            let second_reply = send_order(caller, other, n, &key)?;
            check_reply(Ok(reply.clone()), &order_line(n), 1)?;
            if second_reply.text == reply.text {
                Ok(())
            } else {
                Err(format!("another answer: {second_reply:?}"))
            }
        });
        step.record(result);
    }
    step
}

/// Checks in the run logs that every order ran exactly once.
fn check_run_logs(cluster: &Cluster) -> Result<Step, Box<dyn Error>> {
    let mut step = Step::new("orders that ran exactly once, by run logs");
    let records = cluster.run_records()?;
    let runs: Vec<&str> = records
        .values()
        .flatten()
        .filter(|it| it.phase == "start" && it.method == "POST")
        .map(|it| it.path.as_str())
        .collect();
    for n in 0..2 * REQUESTS_PER_NODE * cluster.machines.len() {
        let path = order_path(n);
        let count = runs.iter().filter(|it| **it == path).count();
        step.record(if count == 1 { Ok(()) } else { Err(format!("{path} ran {count} times")) });
    }
    Ok(step)
}

fn numbered_entries(entries: &[SocketAddr]) -> impl Iterator<Item = (usize, SocketAddr)> {
    entries.iter().copied().cycle().take(entries.len() * REQUESTS_PER_NODE).enumerate()
}

fn order_path(n: usize) -> String {
    format!("/order?id=order-{n}")
}

fn order_line(n: usize) -> String {
    answer_line("stock", "POST", &order_path(n), b"")
}

fn fetch_key(caller: &Caller, node: SocketAddr) -> Result<String, String> {
    let key = caller.fetch_key(node).map_err(|it| it.to_string())?;
    key.ok_or_else(|| format!("{node} gave no key"))
}

fn send_order(caller: &Caller, node: SocketAddr, n: usize, key: &str) -> Result<Reply, String> {
    let path = format!("stock{}", order_path(n));
    let call = Call { method: "POST", path: &path, key: Some(key), chain_id: None };
    caller.call(node, &call).map_err(|it| it.to_string())
}

fn check_reply(reply: Result<Reply, String>, line: &str, depth: usize) -> Result<(), String> {
    let reply = reply?;
    let is_complete = reply.status == 200 && is_complete_answer(&reply.text, line, depth);
    if is_complete { Ok(()) } else { Err(format!("status={} {}", reply.status, reply.text.trim())) }
}

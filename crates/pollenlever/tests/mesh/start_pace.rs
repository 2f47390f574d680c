//! The pace of a restarted target with four slots, whose first limit is one run.

use std::net::SocketAddr;

use pollenlever_core::pace::OVERFLOW_WAIT;

use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, METRICS_PORT, TestMesh, table};

/// Starts one node with a target that was known for long and has restarted.
async fn start_mesh(script: &[Action], has_start_pace: bool) -> TestMesh {
    let mut mesh = TestMesh::new();
    mesh.has_start_pace = has_start_pace;
    mesh.publish(table(1));
    mesh.join("read", script).await;
    mesh.nodes[0].report_restart(2);
    mesh
}

/// Value of the gauge of the share that the target may be offered.
async fn start_share(mesh: &TestMesh) -> f64 {
    let addr = SocketAddr::new(mesh.nodes[0].callers.ip(), METRICS_PORT);
    let mut caller = RawCaller::connect(addr).await;
    caller.request("GET", "/metrics", "m", DEADLINE_MS).await;
    let body = caller.answer().await.unwrap().body;
    let mut lines = body.lines().filter_map(|it| it.split_once(' '));
    let found = lines.find(|(name, _)| *name == "pollenlever_target_start_share");
    found.unwrap().1.parse().unwrap()
}

async fn callers(mesh: &TestMesh, count: usize) -> Vec<RawCaller> {
    let mut callers = Vec::new();
    for id in 0..count {
        let mut caller = mesh.caller().await;
        caller.request("GET", "/read/1", &format!("c{id}"), DEADLINE_MS).await;
        callers.push(caller);
    }
    callers
}

/// Guards against a limit that keeps requests from the only target: they run above it after a wait.
#[tokio::test]
async fn the_only_target_gets_all_its_slots() {
    let mesh = start_mesh(&[Action::Hold], true).await;
    assert_eq!(start_share(&mesh).await, 0.25);
    let mut callers = callers(&mesh, 4).await;
    let target = &mesh.nodes[0].target;
    target.wait_for_arrivals(4).await;
    let arrivals = target.arrivals();
    assert!(arrivals[1].at - arrivals[0].at >= OVERFLOW_WAIT / 2, "the second one waits first");
    target.release();
    for caller in &mut callers {
        assert_eq!(caller.answer().await.unwrap().status, 200);
    }
}

#[tokio::test]
async fn responses_raise_the_share() {
    let mesh = start_mesh(&[Action::Answer(200, "x")], true).await;
    let mut sent = 0;
    while start_share(&mesh).await < 0.5 {
        assert_eq!(mesh.call("GET", "/read/1", &format!("r{sent}")).await.status, 200);
        sent += 1;
        assert!(sent < 10_000, "the share should rise");
    }
}

/// Guards against a warm target that is throttled because its node has restarted.
#[tokio::test]
async fn a_target_that_has_run_for_long_has_no_pace() {
    let mut mesh = TestMesh::new();
    mesh.has_start_pace = true;
    mesh.publish(table(1));
    mesh.join("read", &[Action::Answer(200, "x")]).await;
    assert_eq!(start_share(&mesh).await, 1.0);
}

#[tokio::test]
async fn without_the_setting_a_restarted_target_has_no_pace() {
    let mesh = start_mesh(&[Action::Answer(200, "x")], false).await;
    assert_eq!(start_share(&mesh).await, 1.0);
}

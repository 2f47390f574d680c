use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, table};
use super::test_relay::TestRelay;

/// Deadline before which the owner does not find out that a connection is silent, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 900;

/// A mesh without retries whose only target of `service` is reached over a relay. It has answered a
/// request, so that the first node has a connection to its gate.
async fn start_relayed(service: &'static str, method: &str) -> (TestMesh, TestRelay) {
    let mut mesh = TestMesh::new();
    mesh.min_retries = 0.0;
    mesh.publish(table(1));
    mesh.add_node("other", &[Action::Close]).await;
    let relay = mesh.add_relayed_node(service, &[Action::Answer(200, "ran")]).await;
    for node in &mesh.nodes {
        node.report_ready(1);
    }
    mesh.wait_until_members_known().await;
    let answer = mesh.call(method, &format!("/{service}/1"), "first").await;
    assert_eq!(answer.status, 200);
    (mesh, relay)
}

/// Sends a request into the silent connection to the only gate. As it never arrives there, its caller has
/// to be told that it has not run.
async fn check_is_not_run(service: &'static str, method: &str, deadline_ms: u64) {
    let (mesh, relay) = start_relayed(service, method).await;
    relay.silence_open_connections();
    let mut caller = mesh.caller().await;
    caller.request(method, &format!("/{service}/1"), "second", deadline_ms).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.status, answer.header("pollenlever-outcome")), (503, Some("not-run")));
    assert_eq!(mesh.nodes[1].target.arrivals().len(), 1);
}

#[tokio::test]
async fn a_request_that_may_run_once_and_never_arrived_is_unknown() {
    check_is_not_run("charge", "POST", DEADLINE_MS).await;
}

#[tokio::test]
async fn an_idempotent_request_that_never_arrived_is_unknown_without_retries_left() {
    check_is_not_run("read", "GET", DEADLINE_MS).await;
}

#[tokio::test]
async fn a_request_that_never_arrived_is_unknown_at_its_deadline() {
    check_is_not_run("charge", "POST", SHORT_DEADLINE_MS).await;
}

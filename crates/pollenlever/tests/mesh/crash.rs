use super::scripted_target::Action;
use super::test_mesh::{TestMesh, wait_until};

const CRASHING_PATH: &str = "/charge/deadly";

/// Sends the crashing request until it has reached a target `crashes` times; each target then
/// restarts.
async fn crash_targets_with_request(mesh: &TestMesh, crashes: usize) {
    for crash in 0..crashes {
        let before = mesh.arrivals();
        let answer = mesh.call("POST", CRASHING_PATH, &format!("d{crash}")).await;
        assert_eq!(answer.status, 502, "the outcome is unknown");
        let hit = (0..2).find(|it| mesh.arrivals()[*it] > before[*it]).unwrap();
        mesh.nodes[hit].report_restart(2 + crash as u64);
    }
}

#[tokio::test]
async fn a_request_that_crashed_two_targets_is_refused_at_every_gate() {
    let script = [Action::CloseOnPath(CRASHING_PATH)];
    let mesh = TestMesh::start(&[("charge", &script), ("charge", &script)]).await;
    crash_targets_with_request(&mesh, 2).await;
    for node in &mesh.nodes {
        wait_until("request blocked", || node.node.shared().blocked_request_count() == 1).await;
    }
    let before = mesh.arrivals();
    for round in 0..8 {
        let answer = mesh.call("POST", CRASHING_PATH, &format!("r{round}")).await;
        assert_eq!((answer.status, answer.header("pollenlever-outcome")), (429, "not-run".into()));
    }
    assert_eq!(mesh.arrivals(), before);
    assert_eq!(mesh.call("POST", "/charge/other", "o").await.body, "ran");
}

#[tokio::test]
async fn a_request_that_was_answered_once_is_not_a_crash_suspect() {
    let script = [
        Action::Answer(200, "ran"),
        Action::Close,
        Action::Close,
        Action::Answer(200, "ran again"),
    ];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r0").await.body, "ran");
    for crash in 0..2 {
        assert_eq!(mesh.call("POST", "/charge/1", &format!("c{crash}")).await.status, 502);
        mesh.nodes[0].report_restart(2 + crash);
    }
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.body, "ran again");
}

#[tokio::test]
async fn a_broken_connection_alone_is_not_a_crash() {
    let script = [Action::Close, Action::Close, Action::Close, Action::Answer(200, "ran")];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    for lost in 0..3 {
        assert_eq!(mesh.call("POST", "/charge/1", &format!("l{lost}")).await.status, 502);
    }
    wait_until("served again", || mesh.nodes[0].node.shared().is_ready()).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r").await.body, "ran");
}

#[tokio::test]
async fn a_node_that_joins_later_learns_which_requests_crash_targets() {
    let script = [Action::CloseOnPath(CRASHING_PATH)];
    let mut mesh = TestMesh::start(&[("charge", &script), ("charge", &script)]).await;
    crash_targets_with_request(&mesh, 2).await;
    mesh.join("charge", &script).await;
    let joined = &mesh.nodes[2];
    wait_until("request blocked", || joined.node.shared().blocked_request_count() == 1).await;
}

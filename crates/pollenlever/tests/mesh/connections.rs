use std::time::Duration;

use pollenlever_core::mesh::{RouteTable, ServiceLimits};

use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, table, wait_until};

/// Time for which a test leaves connections idle.
const IDLE_TIME: Duration = Duration::from_millis(100);

#[tokio::test]
async fn an_idle_connection_is_reused() {
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, "x")])]).await;
    for id in 0..3 {
        assert_eq!(mesh.call("GET", "/read/1", &format!("r{id}")).await.status, 200);
    }
    assert_eq!(mesh.nodes[0].target.connections(), 1);
}

/// The target closes connections that were idle for a while without announcing a limit.
#[tokio::test]
async fn idle_connections_that_the_target_drops_are_replaced() {
    let script = [Action::Answer(200, "x"), Action::Close, Action::Answer(200, "y")];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.status, 200);
    tokio::time::sleep(IDLE_TIME).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r2").await.status, 502);
    for (id, connections) in [("r3", 2), ("r4", 3)] {
        assert_eq!(mesh.call("POST", "/charge/1", id).await.body, "y");
        assert_eq!(mesh.nodes[0].target.connections(), connections);
        tokio::time::sleep(IDLE_TIME).await;
    }
}

/// The target breaks connections that it has just used, such as when it crashes.
#[tokio::test]
async fn the_loss_of_a_busy_connection_does_not_end_the_reuse_of_others() {
    let script = [Action::Answer(200, "x"), Action::Close, Action::Answer(200, "y")];
    let mesh = TestMesh::start(&[("read", &script)]).await;
    let mut caller = mesh.caller().await;
    for (id, status) in [("r1", 200), ("r2", 502)] {
        caller.request("GET", "/read/1", id, DEADLINE_MS).await;
        assert_eq!(caller.answer().await.unwrap().status, status);
    }
    for id in 3..6 {
        assert_eq!(mesh.call("GET", "/read/1", &format!("r{id}")).await.body, "y");
    }
    assert_eq!(mesh.nodes[0].target.connections(), 2);
}

/// The target loses an answer after it has worked on the request, but keeps idle connections.
#[tokio::test]
async fn lost_answers_do_not_end_the_reuse_of_connections() {
    let answered = Action::Answer(200, "x");
    let script = [
        answered.clone(),
        answered.clone(),
        answered,
        Action::HoldAndClose,
        Action::Answer(200, "y"),
    ];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    for id in ["r1", "r2"] {
        assert_eq!(mesh.call("POST", "/charge/1", id).await.status, 200);
        tokio::time::sleep(IDLE_TIME).await;
    }
    // The next request finds the connection idle for less time than the one before.
    assert_eq!(mesh.call("POST", "/charge/1", "r3").await.body, "x");
    let target = mesh.nodes[0].target.clone();
    let lost = async {
        target.wait_for_arrivals(4).await;
        tokio::time::sleep(IDLE_TIME).await;
        target.release();
    };
    let (answer, ()) = tokio::join!(mesh.call("POST", "/charge/1", "r4"), lost);
    assert_eq!(answer.status, 502);
    for id in ["r5", "r6"] {
        assert_eq!(mesh.call("POST", "/charge/1", id).await.body, "y");
        tokio::time::sleep(IDLE_TIME / 2).await;
    }
    assert_eq!(mesh.nodes[0].target.connections(), 2);
}

#[tokio::test]
async fn a_target_gets_no_more_connections_than_it_accepts() {
    let mesh = TestMesh::start(&[("read", &[Action::Hold])]).await;
    let services = vec![ServiceLimits { service: "read".into(), max_connections: 2 }];
    mesh.publish(RouteTable { services, ..table(2) });
    let shared = mesh.nodes[0].node.shared();
    wait_until("connection limit in force", || shared.route_version() == 2).await;
    let mut held = Vec::new();
    for id in 1..=2 {
        let mut caller = mesh.caller().await;
        caller.request("GET", "/read/1", &format!("r{id}"), DEADLINE_MS).await;
        mesh.nodes[0].target.wait_for_arrivals(id).await;
        held.push(caller);
    }
    assert_eq!(mesh.call("GET", "/read/1", "r3").await.status, 503);
    assert_eq!(mesh.arrivals(), [2]);
    mesh.nodes[0].target.release();
    for mut caller in held {
        assert_eq!(caller.answer().await.unwrap().status, 200);
    }
}

use std::time::Duration;

use pollenlever_core::mesh::{RouteTable, ServiceTraits};

use super::script_target::Act;
use super::test_mesh::{DEADLINE_MS, TestMesh, table, until};

/// Time for which the connections of a test rest.
const REST: Duration = Duration::from_millis(100);

#[tokio::test]
async fn a_connection_that_rested_is_used_again() {
    let mesh = TestMesh::start(&[("read", &[Act::Answer(200, "x")])]).await;
    for id in 0..3 {
        assert_eq!(mesh.call("GET", "/read/1", &format!("r{id}")).await.status, 200);
    }
    assert_eq!(mesh.nodes[0].target.connections(), 1);
}

/// The target drops connections that rested for a while, and does not say so.
#[tokio::test]
async fn a_target_that_drops_resting_connections_gets_new_ones() {
    let script = [Act::Answer(200, "x"), Act::Close, Act::Answer(200, "y")];
    let mesh = TestMesh::start(&[("charge", &script)]).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.status, 200);
    tokio::time::sleep(REST).await;
    assert_eq!(mesh.call("POST", "/charge/1", "r2").await.status, 502);
    for (id, connections) in [("r3", 2), ("r4", 3)] {
        assert_eq!(mesh.call("POST", "/charge/1", id).await.body, "y");
        assert_eq!(mesh.nodes[0].target.connections(), connections);
        tokio::time::sleep(REST).await;
    }
}

#[tokio::test]
async fn a_target_gets_no_more_connections_than_it_accepts() {
    let mesh = TestMesh::start(&[("read", &[Act::Hold])]).await;
    let services = vec![ServiceTraits { service: "read".into(), max_connections: 2 }];
    mesh.publish(RouteTable { services, ..table(2) });
    let shared = mesh.nodes[0].node.shared();
    until("cap in force", || shared.route_version() == 2).await;
    let mut held = Vec::new();
    for id in 1..=2 {
        let mut caller = mesh.caller().await;
        caller.request("GET", "/read/1", &format!("r{id}"), DEADLINE_MS).await;
        mesh.nodes[0].target.until_arrivals(id).await;
        held.push(caller);
    }
    assert_eq!(mesh.call("GET", "/read/1", "r3").await.status, 503);
    assert_eq!(mesh.arrivals(), [2]);
    mesh.nodes[0].target.release();
    for mut caller in held {
        assert_eq!(caller.answer().await.unwrap().status, 200);
    }
}

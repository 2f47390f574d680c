use pollenlever_core::mesh::{RouteTable, WeightedService};

use super::script_target::Act;
use super::test_mesh::{TestMesh, table, until};

async fn two_services() -> TestMesh {
    let scripts = ([Act::Answer(200, "read")], [Act::Answer(200, "charge")]);
    TestMesh::start(&[("read", &scripts.0), ("charge", &scripts.1)]).await
}

/// The routes of tests, with `/read/` moved to a service.
fn moved(version: u64, service: &str) -> RouteTable {
    let mut table = table(version);
    table.routes[0].services = vec![WeightedService { service: service.into(), weight: 1.0 }];
    table
}

async fn until_version(mesh: &TestMesh, version: u64) {
    for node in &mesh.nodes {
        let shared = node.node.shared();
        until("version in force", || shared.route_version() == version).await;
    }
}

#[tokio::test]
async fn a_moved_route_takes_effect() {
    let mesh = two_services().await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "read");
    mesh.publish(moved(2, "charge"));
    until_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r2").await.body, "charge");
}

#[tokio::test]
async fn an_older_version_never_follows_a_newer_one() {
    let mesh = two_services().await;
    mesh.publish(moved(5, "charge"));
    until_version(&mesh, 5).await;
    mesh.publish(moved(4, "read"));
    mesh.publish(moved(6, "charge"));
    until_version(&mesh, 6).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "charge");
}

#[tokio::test]
async fn routes_that_cannot_be_read_change_nothing() {
    let mesh = two_services().await;
    mesh.store.write("routes", "main", &serde_json::json!("no version"));
    mesh.publish(moved(2, "charge"));
    until_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "charge");
}

#[tokio::test]
async fn an_object_of_another_writer_names_no_member() {
    let mesh = two_services().await;
    let forged = serde_json::json!({"peer": "nowhere", "state": 7});
    mesh.store.write("pollenlever-members", "forged", &forged);
    mesh.publish(moved(2, "charge"));
    until_version(&mesh, 2).await;
    assert!(mesh.nodes.iter().all(|it| it.node.shared().serving_members() == 1));
}

#[tokio::test]
async fn a_dropped_route_is_not_found() {
    let mesh = two_services().await;
    let mut without = table(2);
    without.routes.remove(0);
    mesh.publish(without);
    until_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.status, 404);
}

#[tokio::test]
async fn a_node_whose_object_was_removed_stores_it_again() {
    let mesh = two_services().await;
    let is_stored = || mesh.store.names("pollenlever-members").contains(&"node-0".to_owned());
    until("object stored", is_stored).await;
    mesh.store.remove("pollenlever-members", "node-0");
    until("object stored again", is_stored).await;
}

/// A node that is cut off from the others may remove their objects; they serve all the same.
#[tokio::test]
async fn a_removed_object_takes_no_node_that_answers_out_of_use() {
    let mesh = two_services().await;
    let is_stored = || mesh.store.names("pollenlever-members").contains(&"node-1".to_owned());
    until("object stored", is_stored).await;
    mesh.store.set_read_only(true);
    mesh.store.remove("pollenlever-members", "node-1");
    // Another member, by which the test sees that the removal has been read.
    let marker = serde_json::json!({
        "peer": "127.0.0.1:1", "incarnation": 1, "version": 1, "region": "r", "zone": "z",
        "service": "marker", "state": "ready", "slots": 1,
    });
    mesh.store.write("pollenlever-members", "marker", &marker);
    let shared = mesh.nodes[0].node.shared();
    until("both members known", || shared.serving_members() == 2).await;
    for call in 0..20 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{call}")).await;
        assert_eq!(answer.body, "charge");
    }
}

use pollenlever_core::mesh::{RouteTable, WeightedService};

use super::scripted_target::Action;
use super::test_mesh::{TestMesh, table, wait_until};

async fn two_services() -> TestMesh {
    let scripts = ([Action::Answer(200, "read")], [Action::Answer(200, "charge")]);
    TestMesh::start(&[("read", &scripts.0), ("charge", &scripts.1)]).await
}

/// The test routes, with `/read/` sent to `service` instead.
fn read_moved_to(version: u64, service: &str) -> RouteTable {
    let mut table = table(version);
    table.routes[0].services = vec![WeightedService { service: service.into(), weight: 1.0 }];
    table
}

async fn wait_for_version(mesh: &TestMesh, version: u64) {
    for node in &mesh.nodes {
        let shared = node.node.shared();
        wait_until("version in force", || shared.route_version() == version).await;
    }
}

#[tokio::test]
async fn a_moved_route_takes_effect() {
    let mesh = two_services().await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "read");
    mesh.publish(read_moved_to(2, "charge"));
    wait_for_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r2").await.body, "charge");
}

#[tokio::test]
async fn an_older_version_never_follows_a_newer_one() {
    let mesh = two_services().await;
    mesh.publish(read_moved_to(5, "charge"));
    wait_for_version(&mesh, 5).await;
    mesh.publish(read_moved_to(4, "read"));
    mesh.publish(read_moved_to(6, "charge"));
    wait_for_version(&mesh, 6).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "charge");
}

#[tokio::test]
async fn routes_that_cannot_be_read_change_nothing() {
    let mesh = two_services().await;
    mesh.store.write("routes", "main", &serde_json::json!("no version"));
    mesh.publish(read_moved_to(2, "charge"));
    wait_for_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "charge");
}

#[tokio::test]
async fn an_object_of_unknown_format_adds_no_member() {
    let mesh = two_services().await;
    let forged = serde_json::json!({"peer": "nowhere", "state": 7});
    mesh.store.write("pollenlever-members", "forged", &forged);
    mesh.publish(read_moved_to(2, "charge"));
    wait_for_version(&mesh, 2).await;
    assert!(mesh.nodes.iter().all(|it| it.node.shared().serving_member_count() == 1));
}

#[tokio::test]
async fn requests_for_a_removed_route_get_not_found() {
    let mesh = two_services().await;
    let mut without = table(2);
    without.routes.remove(0);
    mesh.publish(without);
    wait_for_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.status, 404);
}

#[tokio::test]
async fn a_node_whose_object_was_removed_stores_it_again() {
    let mesh = two_services().await;
    let is_stored = || mesh.store.names("pollenlever-members").contains(&"node-0".to_owned());
    wait_until("object stored", is_stored).await;
    mesh.store.remove("pollenlever-members", "node-0");
    wait_until("object stored again", is_stored).await;
}

/// A node that is partitioned from the others may delete their objects; they must still be used
/// while they answer.
#[tokio::test]
async fn a_node_that_answers_stays_in_use_after_its_object_was_removed() {
    let mesh = two_services().await;
    let is_stored = || mesh.store.names("pollenlever-members").contains(&"node-1".to_owned());
    wait_until("object stored", is_stored).await;
    mesh.store.set_read_only(true);
    mesh.store.remove("pollenlever-members", "node-1");
    // A second change; once its member is known, the removal has been read as well.
    let marker = serde_json::json!({
        "peer": "127.0.0.1:1", "incarnation": 1, "version": 1, "region": "r", "zone": "z",
        "service": "marker", "state": "ready", "slots": 1,
    });
    mesh.store.write("pollenlever-members", "marker", &marker);
    let shared = mesh.nodes[0].node.shared();
    wait_until("both members known", || shared.serving_member_count() == 2).await;
    for call in 0..20 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{call}")).await;
        assert_eq!(answer.body, "charge");
    }
}

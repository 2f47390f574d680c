use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{HttpRoute, RouteTable, WeightedService};
use serde_json::{Value, json};

use super::gossip_peer::GossipPeer;
use super::scripted_target::Action;
use super::store_view::Refusal;
use super::test_mesh::{TestMesh, TestNode, table, wait_until};

/// Kind of the store objects that list nodes through which others join.
const SEEDS: &str = "pollenlever-seeds";

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
    mesh.store.write("routes", "main", &json!("no version"));
    mesh.publish(read_moved_to(2, "charge"));
    wait_for_version(&mesh, 2).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.body, "charge");
}

#[tokio::test]
async fn a_list_of_seeds_of_unknown_format_adds_no_member() {
    let mesh = two_services().await;
    for forged in [json!({"peers": 7}), json!("nowhere"), json!({"peers": ["nowhere"]})] {
        mesh.store.write(SEEDS, "forged", &forged);
        mesh.store.write(SEEDS, "lombardia", &forged);
    }
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
async fn a_list_of_seeds_that_was_removed_is_stored_again() {
    let mesh = two_services().await;
    let is_stored = || mesh.store.names(SEEDS).contains(&"lombardia".to_owned());
    wait_until("list stored", is_stored).await;
    mesh.store.remove(SEEDS, "lombardia");
    wait_until("list stored again", is_stored).await;
}

#[tokio::test]
async fn members_stay_in_use_while_the_store_has_lost_them_and_is_down() {
    let mesh = two_services().await;
    mesh.store.remove(SEEDS, "lombardia");
    mesh.store.set_down(true);
    for call in 0..20 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{call}")).await;
        assert_eq!(answer.body, "charge");
    }
}

/// A watch that a silent store has dropped must not keep later versions from the nodes.
#[tokio::test]
async fn a_version_after_the_stores_silence_takes_effect() {
    let mesh = two_services().await;
    wait_until("watched", || mesh.store.waiting_watches() > 0).await;
    mesh.store.set_silent(true);
    mesh.publish(read_moved_to(2, "charge"));
    wait_for_version(&mesh, 2).await;
    wait_until("a watch without answer", || mesh.store.unanswered_watches() > 0).await;
    mesh.store.set_silent(false);
    mesh.publish(read_moved_to(3, "read"));
    wait_for_version(&mesh, 3).await;
}

/// The number of watches must not grow with the number of nodes.
#[tokio::test]
async fn few_nodes_watch_the_routes_and_all_get_them() {
    let script = [Action::Answer(200, "read")];
    let targets: Vec<_> = (0..8).map(|_| ("read", &script[..])).collect();
    let mesh = TestMesh::start(&targets).await;
    for version in 2..5 {
        mesh.publish(table(version));
        wait_for_version(&mesh, version).await;
    }
    wait_until("three watches", || mesh.store.waiting_watches() == 3).await;
}

/// A node that another one takes for its predecessor joins through it, also while the store is down.
#[tokio::test]
async fn a_node_joins_through_one_that_addresses_its_predecessor() {
    let mut mesh = TestMesh::new();
    mesh.store.set_down(true);
    mesh.add_node("read", &[Action::Answer(200, "read")]).await;
    let peer = GossipPeer::start().await;
    let node = mesh.nodes[0].node.shared().member().node;
    let predecessor = NodeId { incarnation: node.incarnation - 1, ..node };
    peer.send_heartbeat(predecessor).await;
    wait_until("contacted", || peer.contacts().contains(&node)).await;
}

/// One entry of the list that is no address must not keep a node from joining through the others.
#[tokio::test]
async fn a_port_out_of_range_hides_the_other_listed_nodes() {
    let script = [Action::Answer(200, "read")];
    let mut mesh = TestMesh::start(&[("read", &script[..]); 4]).await;
    let stored = |mesh: &TestMesh| mesh.store.value(SEEDS, "lombardia");
    let is_enough = |it: Value| it["peers"].as_array().is_some_and(|it| it.len() >= 3);
    wait_until("list stored", || stored(&mesh).is_some_and(is_enough)).await;
    let mut list = stored(&mesh).unwrap();
    list["peers"].as_array_mut().unwrap().insert(0, json!("10.0.0.7:99999"));
    mesh.store.write(SEEDS, "lombardia", &list);
    mesh.add_node("read", &script).await;
    let joining = mesh.nodes[4].node.shared();
    wait_until("joined", || joining.serving_member_count() == 4).await;
    assert_eq!(stored(&mesh), Some(list), "joined through the list as it was");
}

/// Watchers that cannot reach the store must not keep a version from nodes that can.
async fn a_version_reaches_nodes_that_the_store_serves(refusal: Refusal) {
    let script = [Action::Answer(200, "read")];
    let targets: Vec<_> = (0..8).map(|_| ("read", &script[..])).collect();
    let mesh = TestMesh::start(&targets).await;
    let watching = || mesh.nodes.iter().filter(|it| it.store.is_watching()).count();
    wait_until("three watch", || watching() == 3).await;
    let (watchers, served): (Vec<&TestNode>, Vec<&TestNode>) =
        mesh.nodes.iter().partition(|it| it.store.is_watching());
    watchers.iter().for_each(|it| it.store.set_refusal(Some(refusal)));
    mesh.publish(with_added_route(2));
    for node in served {
        let shared = node.node.shared();
        wait_until("version in force", || shared.route_version() == 2).await;
        assert_eq!(node.call("GET", "/added/1", "r1").await.status, 200);
    }
}

/// The test routes with one more.
fn with_added_route(version: u64) -> RouteTable {
    let mut table = table(version);
    let added =
        HttpRoute { prefix: "/added/".into(), name: "added".into(), ..table.routes[0].clone() };
    table.routes.push(added);
    table
}

#[tokio::test]
async fn a_confirmed_version_is_unknown_while_all_watchers_get_errors() {
    a_version_reaches_nodes_that_the_store_serves(Refusal::Error).await;
}

#[tokio::test]
async fn a_confirmed_version_is_unknown_while_all_watchers_get_no_answer() {
    a_version_reaches_nodes_that_the_store_serves(Refusal::Silence).await;
}

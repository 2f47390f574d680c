use pollenlever_core::mesh::RouteTable;
use pollenlever_core::workspace::{KeyDigest, Workspace};

use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, table, wait_until};

/// The test routes with a workspace that has these keys.
fn table_with_keys(version: u64, keys: &[&str]) -> RouteTable {
    let keys = keys.iter().map(|it| KeyDigest::of(it)).collect();
    let padova = Workspace { name: "padova".into(), keys, ..Workspace::default() };
    RouteTable { workspaces: vec![padova], ..table(version) }
}

async fn mesh_with_keys(keys: &[&str]) -> TestMesh {
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, "read")])]).await;
    mesh.publish(table_with_keys(2, keys));
    wait_for_version(&mesh, 2).await;
    mesh
}

async fn wait_for_version(mesh: &TestMesh, version: u64) {
    let shared = mesh.nodes[0].node.shared();
    wait_until("version in force", || shared.route_version() == version).await;
}

/// Sends a request with these further header lines and returns the status of its answer.
async fn status(caller: &mut RawCaller, id: &str, lines: &str) -> u16 {
    caller.request_with("GET", "/read/1", id, DEADLINE_MS, lines).await;
    caller.answer().await.expect("an answer").status
}

macro_rules! credentials {
    ($($name:ident: $lines:literal => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let mesh = mesh_with_keys(&["k1"]).await;
            let mut caller = mesh.caller().await;
            assert_eq!(status(&mut caller, "r1", $lines).await, $status);
            let arrivals = usize::from($status == 200);
            assert_eq!(mesh.nodes[0].target.arrivals().len(), arrivals);
        }
    )*};
}

// A request without a key that a workspace has must not reach a target.
credentials! {
    a_known_key_is_let_through: "Authorization: Bearer k1\r\n" => 200;
    an_unknown_key_is_refused: "Authorization: Bearer k2\r\n" => 401;
    a_missing_key_is_refused: "" => 401;
    another_scheme_is_refused: "Authorization: Basic k1\r\n" => 401;
    two_keys_are_refused: "Authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n" => 401;
}

/// A call of a run that the node does not know, as after a restart, must not be answered 401, and must
/// not pass either.
#[tokio::test]
async fn a_call_of_an_unknown_run_is_refused_as_not_run() {
    let mesh = mesh_with_keys(&["k1"]).await;
    assert_eq!(status(&mut mesh.caller().await, "r0.1", "").await, 503);
    assert_eq!(mesh.nodes[0].target.arrivals().len(), 0);
}

/// The target must learn the workspace from the node only, and never see a key.
#[tokio::test]
async fn the_target_gets_the_workspace_of_the_key_and_not_the_key() {
    let mesh = mesh_with_keys(&["k1"]).await;
    let forged = "Authorization: Bearer k1\r\npollenlever-workspace: verona\r\n";
    assert_eq!(status(&mut mesh.caller().await, "r1", forged).await, 200);
    let head = mesh.nodes[0].target.arrivals()[0].head.to_ascii_lowercase();
    assert!(head.contains("pollenlever-workspace: padova"), "{head}");
    assert!(!head.contains("verona") && !head.contains("k1"), "{head}");
}

/// A removed key must stop on connections that are open already.
#[tokio::test]
async fn a_removed_key_is_refused_on_an_open_connection() {
    let mesh = mesh_with_keys(&["k1", "k2"]).await;
    let mut caller = mesh.caller().await;
    assert_eq!(status(&mut caller, "r1", "Authorization: Bearer k1\r\n").await, 200);
    mesh.publish(table_with_keys(3, &["k2"]));
    wait_for_version(&mesh, 3).await;
    assert_eq!(status(&mut caller, "r2", "Authorization: Bearer k1\r\n").await, 401);
    assert_eq!(status(&mut caller, "r3", "Authorization: Bearer k2\r\n").await, 200);
}

/// Without workspaces, `Authorization` is the business of caller and target.
#[tokio::test]
async fn without_workspaces_credentials_are_forwarded() {
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, "read")])]).await;
    let line = "Authorization: Bearer k1\r\n";
    assert_eq!(status(&mut mesh.caller().await, "r1", line).await, 200);
    let head = mesh.nodes[0].target.arrivals()[0].head.to_ascii_lowercase();
    assert!(head.contains("authorization: bearer k1"), "{head}");
}

/// Requests of public routes need no key.
#[tokio::test]
async fn a_public_route_needs_no_key() {
    let mesh = TestMesh::start(&[("read", &[Action::Answer(200, "read")])]).await;
    let mut public = table_with_keys(2, &["k1"]);
    public.routes[0].is_public = true;
    mesh.publish(public);
    wait_for_version(&mesh, 2).await;
    assert_eq!(status(&mut mesh.caller().await, "r1", "").await, 200);
}

/// Routes whose workspaces share a key must not come into force.
#[tokio::test]
async fn workspaces_that_share_a_key_change_nothing() {
    let mesh = mesh_with_keys(&["k1"]).await;
    let mut shared_key = table_with_keys(3, &["k1"]);
    let other = Workspace { name: "verona".into(), ..shared_key.workspaces[0].clone() };
    shared_key.workspaces.push(other);
    mesh.publish(shared_key);
    mesh.publish(table_with_keys(4, &["k2"]));
    wait_for_version(&mesh, 4).await;
    let mut caller = mesh.caller().await;
    assert_eq!(status(&mut caller, "r1", "Authorization: Bearer k2\r\n").await, 200);
}

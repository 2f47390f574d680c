//! Quotas while the store refuses some nodes, and after it came back from an older copy.

use super::quota::{KIND, NAME, QUOTA, mesh_with, with_quota};
use super::scripted_target::Action;
use super::store_view::Refusal;
use super::test_mesh::{TestMesh, TestNode, wait_until};

/// A store that comes back from a copy of before units were passed on gives them back to their earlier
/// holder, while the later ones have not read it yet.
#[tokio::test]
async fn units_are_held_twice_after_the_store_came_back_from_a_copy() {
    const ALL_UNITS: u32 = 1_000_000;
    let mut mesh = mesh_with(1, Some(QUOTA)).await;
    let held = |mesh: &TestMesh| -> Vec<u32> {
        mesh.nodes.iter().map(|it| it.node.shared().quota_status().units).collect()
    };
    wait_until("all units at one node", || held(&mesh) == [ALL_UNITS]).await;
    let copy = mesh.store.copy();
    for _ in 0..3 {
        mesh.join("read", &[Action::Answer(200, "ran")]).await;
    }
    let all_hold = |mesh: &TestMesh| held(mesh).iter().all(|it| *it > 0);
    wait_until("units at all nodes", || all_hold(&mesh)).await;
    let version_before = mesh.nodes[0].node.shared().quota_status().table_version;
    mesh.store.restore(copy);
    let has_read = |mesh: &TestMesh| {
        let version = |it: &TestNode| it.node.shared().quota_status().table_version;
        mesh.nodes.iter().all(|it| version(it) > version_before)
    };
    wait_until("all have read it and hold units again", || {
        let sum: u32 = held(&mesh).iter().sum();
        assert!(sum <= ALL_UNITS, "{sum} units are held");
        has_read(&mesh) && all_hold(&mesh)
    })
    .await;
}

/// Watchers that cannot reach the store must not keep the quotas from nodes that can.
#[tokio::test]
async fn quotas_stay_unavailable_while_all_watchers_are_refused() {
    let mesh = mesh_with(6, None).await;
    let watches = |it: &&TestNode| it.store.is_watching();
    wait_until("three watch", || mesh.nodes.iter().filter(watches).count() == 3).await;
    let watchers: Vec<&TestNode> = mesh.nodes.iter().filter(watches).collect();
    watchers.iter().for_each(|it| it.store.set_refusal(Some(Refusal::Error)));
    mesh.publish(with_quota(3, Some(QUOTA)));
    wait_until("a share table", || mesh.store.value(KIND, NAME).is_some()).await;
}

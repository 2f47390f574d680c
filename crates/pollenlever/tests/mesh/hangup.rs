use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh};

#[tokio::test]
async fn a_hang_up_cancels_the_run_on_another_node() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hang]), ("read", &[Action::Hang])]).await;
    let mut caller = mesh.caller().await;
    caller.request("GET", "/read/1", "r1", DEADLINE_MS).await;
    mesh.nodes[1].target.wait_for_arrivals(1).await;
    drop(caller);
    mesh.nodes[1].target.wait_for_hangups(1).await;
}

#[tokio::test]
async fn a_hang_up_cancels_all_pipelined_requests() {
    let mesh = TestMesh::start(&[("read", &[Action::Hang])]).await;
    let mut caller = mesh.caller().await;
    for id in ["r1", "r2", "r3"] {
        caller.request("GET", "/read/1", id, DEADLINE_MS).await;
    }
    mesh.nodes[0].target.wait_for_arrivals(3).await;
    drop(caller);
    mesh.nodes[0].target.wait_for_hangups(3).await;
}

#[tokio::test]
async fn a_non_idempotent_run_continues_after_a_hang_up() {
    let mesh = TestMesh::start(&[("read", &[Action::Hang]), ("charge", &[Action::Hold])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", DEADLINE_MS).await;
    mesh.nodes[1].target.wait_for_arrivals(1).await;
    drop(caller);
    // The hang-up has been handled once a later request of the same node reaches the target.
    let mut second = mesh.caller().await;
    second.request("POST", "/charge/2", "r2", DEADLINE_MS).await;
    mesh.nodes[1].target.wait_for_arrivals(2).await;
    mesh.nodes[1].target.release();
    assert_eq!(second.answer().await.unwrap().status, 200);
}

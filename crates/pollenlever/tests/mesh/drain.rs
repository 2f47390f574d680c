use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, wait_until};

#[tokio::test]
async fn no_request_reaches_a_target_after_it_reported_draining() {
    let scripts = ([Action::Answer(200, "first")], [Action::Answer(200, "second")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    mesh.nodes[0].report(2, true);
    for round in 0..8 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{round}")).await;
        assert_eq!(answer.body, "second");
    }
    mesh.nodes[0].report_ready(3);
    assert_eq!(mesh.call("POST", "/charge/1", "late").await.body, "second");
    assert_eq!(mesh.arrivals(), [0, 9]);
}

#[tokio::test]
async fn no_request_reaches_a_target_that_left_without_draining() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "run")])]).await;
    let instance = format!("i-{}", mesh.nodes[0].target.addr.port());
    mesh.nodes[0].node.shared().handle_target_departure(&instance.as_str().into(), Some(1));
    assert_eq!(mesh.call("POST", "/charge/1", "r1").await.status, 503);
    assert_eq!(mesh.arrivals(), [0]);
}

/// The target says in an answer that it leaves, and its report of it does not arrive.
#[tokio::test]
async fn no_request_reaches_a_target_after_it_stated_that_it_leaves() {
    let scripts = ([Action::Answer(200, "first")], [Action::Answer(200, "second")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    mesh.nodes[0].target.state("Pollenlever-Leaving: 1\r\n");
    assert_eq!(mesh.call("POST", "/charge/1", "told").await.body, "first");
    for round in 0..8 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{round}")).await;
        assert_eq!(answer.body, "second");
    }
    mesh.nodes[0].report_ready(2);
    assert_eq!(mesh.call("POST", "/charge/1", "late").await.body, "second");
    assert_eq!(mesh.arrivals(), [1, 9]);
    let shared = mesh.nodes[1].node.shared();
    wait_until("departure known", || shared.serving_member_count() == 0).await;
    wait_until("departure stored", || mesh.store.names("pollenlever-departures").len() == 1).await;
    mesh.nodes[0].target.state("");
    mesh.nodes[0].report_restart(2);
    wait_until("new process known", || shared.serving_member_count() == 1).await;
}

#[tokio::test]
async fn a_request_in_flight_completes_while_its_target_drains() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hold])]).await;
    let mut caller = mesh.caller().await;
    caller.request("POST", "/charge/1", "r1", DEADLINE_MS).await;
    mesh.nodes[0].target.wait_for_arrivals(1).await;
    mesh.nodes[0].report(2, true);
    mesh.nodes[0].target.release();
    assert_eq!(caller.answer().await.unwrap().body, "held");
}

#[tokio::test]
async fn requests_waiting_for_a_slot_are_refused_when_the_target_drains() {
    // The first target runs four requests, as many as it has slots; the fifth waits in the queue.
    let scripts = ([Action::Hold], [Action::Answer(200, "second")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("read", &scripts.1)]).await;
    let mut held = Vec::new();
    for id in 0..5 {
        let mut caller = mesh.caller().await;
        caller.request("POST", "/charge/1", &format!("r{id}"), DEADLINE_MS).await;
        held.push(caller);
        mesh.nodes[0].target.wait_for_arrivals((id + 1).min(4)).await;
    }
    mesh.nodes[0].report(2, true);
    assert_eq!(held[4].answer().await.unwrap().status, 503);
    mesh.nodes[0].target.release();
    for caller in &mut held[..4] {
        assert_eq!(caller.answer().await.unwrap().status, 200);
    }
    assert_eq!(mesh.arrivals(), [4, 0]);
}

#[tokio::test]
async fn other_nodes_learn_of_a_draining_target_while_the_store_is_down() {
    let scripts = ([Action::Hang], [Action::Answer(200, "second")]);
    let mesh = TestMesh::start(&[("read", &scripts.0), ("charge", &scripts.1)]).await;
    mesh.store.set_down(true);
    mesh.nodes[1].report(2, true);
    let shared = mesh.nodes[0].node.shared();
    wait_until("drain known", || shared.serving_member_count() == 0).await;
}

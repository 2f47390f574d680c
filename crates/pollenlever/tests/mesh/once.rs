use super::script_target::Act;
use super::test_mesh::TestMesh;

#[tokio::test]
async fn a_rejected_request_goes_to_another_target() {
    let scripts = ([Act::Reject], [Act::Answer(200, "run")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    for round in 0..4 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{round}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "run"));
    }
    assert_eq!(mesh.nodes[1].target.arrivals().len(), 4);
}

#[tokio::test]
async fn a_request_that_every_target_rejects_is_refused_with_a_time_to_come_back() {
    let mesh = TestMesh::start(&[("charge", &[Act::Reject]), ("charge", &[Act::Reject])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("pollenlever-outcome"), Some("not-run"));
    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 0.0 && wait < 5.0);
}

#[tokio::test]
async fn a_refusal_of_a_target_that_may_have_run_is_no_promise() {
    let mesh = TestMesh::start(&[("charge", &[Act::Answer(503, "busy")])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("pollenlever-outcome"), Some("unknown"));
}

#[tokio::test]
async fn a_target_under_another_identity_runs_nothing() {
    const WRONG: &str = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
    let scripts = ([Act::Write(WRONG)], [Act::Answer(200, "run")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    for round in 0..4 {
        assert_eq!(mesh.call("POST", "/charge/1", &format!("r{round}")).await.status, 200);
    }
    // The first gate sends nothing more until its target reports again.
    assert!(mesh.nodes[0].target.arrivals().len() <= 1);
}

#[tokio::test]
async fn a_service_without_targets_is_refused_as_not_run() {
    let mesh = TestMesh::start(&[("read", &[Act::Hang])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn an_idempotent_request_reaches_as_many_targets_as_its_route_allows() {
    let script = [Act::Close];
    let mesh = TestMesh::start(&[("read", &script), ("read", &script), ("read", &script)]).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.status, 502);
    assert_eq!(mesh.arrivals().iter().sum::<usize>(), 2);
}

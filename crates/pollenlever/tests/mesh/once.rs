use super::scripted_target::Action;
use super::test_mesh::TestMesh;

#[tokio::test]
async fn a_rejected_request_goes_to_another_target() {
    let scripts = ([Action::Reject], [Action::Answer(200, "run")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    for round in 0..4 {
        let answer = mesh.call("POST", "/charge/1", &format!("r{round}")).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "run"));
    }
    assert_eq!(mesh.nodes[1].target.arrivals().len(), 4);
}

#[tokio::test]
async fn a_request_that_every_target_rejects_is_refused_with_retry_after() {
    let mesh =
        TestMesh::start(&[("charge", &[Action::Reject]), ("charge", &[Action::Reject])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("pollenlever-outcome"), Some("not-run"));
    let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 0.0 && wait < 5.0);
}

#[tokio::test]
async fn a_503_of_a_target_that_may_have_run_the_request_is_unknown() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(503, "busy")])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("pollenlever-outcome"), Some("unknown"));
}

#[tokio::test]
async fn a_request_rejected_for_a_wrong_instance_goes_to_another_target() {
    const WRONG: &str = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n";
    let scripts = ([Action::Write(WRONG)], [Action::Answer(200, "run")]);
    let mesh = TestMesh::start(&[("charge", &scripts.0), ("charge", &scripts.1)]).await;
    for round in 0..4 {
        assert_eq!(mesh.call("POST", "/charge/1", &format!("r{round}")).await.status, 200);
    }
    // The first node's gate sends its target no further requests until the target reports again.
    assert!(mesh.nodes[0].target.arrivals().len() <= 1);
}

#[tokio::test]
async fn a_request_to_a_service_without_targets_is_refused() {
    let mesh = TestMesh::start(&[("read", &[Action::Hang])]).await;
    let answer = mesh.call("POST", "/charge/1", "r1").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn an_idempotent_request_reaches_as_many_targets_as_its_route_allows() {
    let script = [Action::Close];
    let mesh = TestMesh::start(&[("read", &script), ("read", &script), ("read", &script)]).await;
    assert_eq!(mesh.call("GET", "/read/1", "r1").await.status, 502);
    assert_eq!(mesh.arrivals().iter().sum::<usize>(), 2);
}

/// A rejection that a target writes once more on a kept connection must not be taken for the answer to
/// a request that the target runs.
async fn check_repeated_rejection(first: Action) {
    let script = [first, Action::RunAndRepeatRejection];
    let mesh = TestMesh::start(&[("read", &[Action::Close]), ("charge", &script)]).await;
    for request in ["r1", "r2", "r3"] {
        let status = mesh.call("POST", "/charge/1", request).await.status;
        let runs = mesh.nodes[1].target.runs().iter().filter(|it| *it == request).count();
        assert!(runs <= 1, "{request} ran {runs} times");
        assert!(status != 503 || runs == 0, "{request} was refused as not run, and ran");
    }
}

#[tokio::test]
async fn a_repeated_rejection_of_the_same_request_is_taken_for_its_answer() {
    check_repeated_rejection(Action::Reject).await;
}

#[tokio::test]
async fn a_repeated_rejection_without_id_is_taken_for_an_answer() {
    check_repeated_rejection(Action::RejectWithoutId).await;
}

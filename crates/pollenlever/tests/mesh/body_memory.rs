use super::raw_caller::RawCaller;
use super::scripted_target::Action;
use super::test_mesh::{DEADLINE_MS, TestMesh, table};

/// Memory of a node, in bytes. Large bodies may take 4.5 MB of it.
const MEMORY_BYTES: usize = 16_000_000;
/// A body of which only one fits at a time, in bytes.
const LARGE_BODY_BYTES: usize = 3_000_000;
const SMALL_BODY_BYTES: usize = 2_000;
/// Deadline of a request that waits for memory in vain, in milliseconds.
const SHORT_DEADLINE_MS: u64 = 800;

/// Starts two nodes with little memory, the second one with a target that holds its first request.
async fn start_nodes() -> TestMesh {
    let mut mesh = TestMesh::new();
    mesh.memory_bytes = Some(MEMORY_BYTES);
    mesh.publish(table(1));
    mesh.add_node("other", &[Action::Close]).await;
    mesh.add_node("charge", &[Action::Hold, Action::Answer(200, "ran")]).await;
    for node in &mesh.nodes {
        node.report_ready(1);
    }
    mesh.wait_until_members_known().await;
    mesh
}

/// Sends a large body through the first node and waits until the target holds it.
async fn hold_large_body(mesh: &TestMesh) -> RawCaller {
    let mut holder = mesh.caller().await;
    holder.upload("/charge/1", "held", DEADLINE_MS, LARGE_BODY_BYTES).await;
    mesh.nodes[1].target.wait_for_arrivals(1).await;
    holder
}

// LOST: bodies without a bound over all requests exceeded the memory of the node that took them.
#[tokio::test]
async fn large_bodies_at_one_node_exceed_its_memory() {
    let mesh = start_nodes().await;
    let mut holder = hold_large_body(&mesh).await;
    let mut second = mesh.caller().await;
    second.upload("/charge/1", "second", SHORT_DEADLINE_MS, LARGE_BODY_BYTES).await;
    let answer = second.answer().await.expect("an answer");
    assert_eq!((answer.status, answer.header("pollenlever-outcome")), (503, Some("not-run")));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(mesh.nodes[1].target.arrivals().len(), 1);

    let mut small = mesh.caller().await;
    small.upload("/charge/1", "small", DEADLINE_MS, SMALL_BODY_BYTES).await;
    assert_eq!(small.answer().await.expect("an answer").body, "ran");

    mesh.nodes[1].target.release();
    assert_eq!(holder.answer().await.expect("an answer").body, "held");
    let mut third = mesh.caller().await;
    third.upload("/charge/1", "third", DEADLINE_MS, LARGE_BODY_BYTES).await;
    assert_eq!(third.answer().await.expect("an answer").body, "ran");
}

// A gate with less memory than the node that took the body.
#[tokio::test]
async fn a_body_for_which_its_gate_has_no_memory_is_unknown() {
    let mut mesh = TestMesh::new();
    mesh.publish(table(1));
    mesh.add_node("other", &[Action::Close]).await;
    mesh.memory_bytes = Some(MEMORY_BYTES / 2);
    mesh.add_node("charge", &[Action::Answer(200, "ran")]).await;
    for node in &mesh.nodes {
        node.report_ready(1);
    }
    mesh.wait_until_members_known().await;
    let mut caller = mesh.caller().await;
    caller.upload("/charge/1", "large", DEADLINE_MS, LARGE_BODY_BYTES).await;
    let answer = caller.answer().await.expect("an answer");
    assert_eq!((answer.status, answer.header("pollenlever-outcome")), (503, Some("not-run")));
    assert_eq!(mesh.arrivals(), [0, 0]);
}

// A body of unknown length takes memory for the largest one, so it must not be read without it.
#[tokio::test]
async fn a_large_chunked_body_is_read_without_memory() {
    const CHUNK_BYTES: usize = 50_000;
    let mesh = start_nodes().await;
    let holder = hold_large_body(&mesh).await;
    let mut second = mesh.caller().await;
    let line = "Transfer-Encoding: chunked\r\n";
    second.request_with("POST", "/charge/1", "second", SHORT_DEADLINE_MS, line).await;
    let chunk = "x".repeat(CHUNK_BYTES);
    for _ in 0..2 {
        second.write(&format!("{CHUNK_BYTES:x}\r\n{chunk}\r\n")).await;
    }
    assert_ne!(second.answer().await.expect("an answer").status, 200);
    drop(holder);
    assert_eq!(mesh.nodes[1].target.arrivals().len(), 1);
}

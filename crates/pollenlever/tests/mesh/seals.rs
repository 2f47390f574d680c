use pollenlever_core::mesh::AttemptOutcome;
use tokio::task::JoinSet;

use super::attempt_sender::AttemptSender;
use super::scripted_target::Action;
use super::test_mesh::TestMesh;

/// More attempts than a gate remembers.
const MANY_ATTEMPTS: u64 = 8300;
/// First number of attempts that are sealed to fill the gate's memory.
const FIRST_OTHER: u64 = 100;

const SEALS_AT_ONCE: usize = 100;

async fn seal_many_others(sender: &AttemptSender) {
    for first in (FIRST_OTHER..FIRST_OTHER + MANY_ATTEMPTS).step_by(SEALS_AT_ONCE) {
        let mut seals = JoinSet::new();
        for seq in first..first + SEALS_AT_ONCE as u64 {
            let sender = sender.clone();
            seals.spawn(async move { sender.seal(seq).await });
        }
        assert!(seals.join_all().await.into_iter().all(|is_sealed| is_sealed));
    }
}

// REFUSED and TWICE: the owner takes a granted seal for a proof and sends the request again.
#[tokio::test]
async fn a_running_request_is_sealed_after_many_others() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hold])]).await;
    let sender = AttemptSender::new(&mesh.nodes[0]);
    let sealed = async {
        mesh.nodes[0].target.wait_for_arrivals(1).await;
        seal_many_others(&sender).await;
        let is_sealed = sender.seal(1).await;
        mesh.nodes[0].target.release();
        is_sealed
    };
    let (outcome, is_sealed) = tokio::join!(sender.send(1), sealed);
    assert_eq!(outcome, AttemptOutcome::Answered(200));
    assert!(!is_sealed, "the request was running");
}

// REFUSED: an attempt that the owner has given up as not run must not run when it arrives late.
#[tokio::test]
async fn a_sealed_attempt_runs_after_many_others() {
    let mesh = TestMesh::start(&[("charge", &[Action::Answer(200, "ran")])]).await;
    let sender = AttemptSender::new(&mesh.nodes[0]);
    assert!(sender.seal(1).await);
    seal_many_others(&sender).await;
    assert_ne!(sender.send(1).await, AttemptOutcome::Answered(200));
    assert_eq!(mesh.arrivals(), [0]);
}

// REFUSED: that a gate knows an attempt already does not say that it has not run.
#[tokio::test]
async fn a_running_attempt_that_arrives_again_is_refused_as_not_run() {
    let mesh = TestMesh::start(&[("charge", &[Action::Hold])]).await;
    let sender = AttemptSender::new(&mesh.nodes[0]);
    let repeated = async {
        mesh.nodes[0].target.wait_for_arrivals(1).await;
        let outcome = sender.send(1).await;
        mesh.nodes[0].target.release();
        outcome
    };
    let (first, repeated) = tokio::join!(sender.send(1), repeated);
    assert_eq!((first, repeated), (AttemptOutcome::Answered(200), AttemptOutcome::Unknown));
}

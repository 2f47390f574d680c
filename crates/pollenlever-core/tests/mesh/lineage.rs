use std::collections::BTreeMap;
use std::time::Duration;

use pollenlever_core::config::Importance;
use pollenlever_core::mesh::{Lineage, RunningRequest, RunningRequests};

const SOON: Duration = Duration::from_secs(1);

fn run(id: &str, importance: Importance) -> RunningRequest {
    let chain = "127.0.0.1:7101@1f~2a".parse().unwrap();
    RunningRequest {
        workspace: None,
        id: id.into(),
        lineage: Lineage::root(chain, importance),
        deadline: SOON,
        digest: 1,
        calls: BTreeMap::new(),
    }
}

#[test]
fn calls_at_every_depth_inherit_the_importance_of_the_first_request() {
    let mut running = RunningRequests::default();
    running.insert(1, run("9c41", Importance::Critical));
    let call = running.parent_of("9c41.07be").unwrap().lineage.child();
    running.insert(2, RunningRequest { lineage: call, ..run("9c41.07be", Importance::Critical) });
    let deeper = running.parent_of("9c41.07be.11d3").unwrap().lineage.child();
    assert_eq!((deeper.importance, deeper.depth), (Importance::Critical, 2));
    assert_eq!(deeper.chain, call.chain);
}

#[test]
fn a_request_whose_run_has_ended_is_no_parent() {
    let mut running = RunningRequests::default();
    running.insert(1, run("9c41", Importance::Normal));
    assert!(running.remove(1).is_some());
    assert!(running.parent_of("9c41.07be").is_none());
    assert!(running.remove(1).is_none());
}

/// A request is sent again with the same id before its first run has ended.
#[test]
fn the_later_run_with_the_same_id_remains_when_the_earlier_one_ends() {
    let mut running = RunningRequests::default();
    running.insert(1, run("9c41", Importance::Normal));
    running.insert(2, run("9c41", Importance::High));
    running.remove(1);
    assert_eq!(running.parent_of("9c41.x").unwrap().lineage.importance, Importance::High);
    assert_eq!(running.last_deadline(), Some(SOON));
}

#[test]
fn calls_are_counted_for_the_run_that_made_them() {
    let mut running = RunningRequests::default();
    running.insert(1, run("9c41", Importance::Normal));
    for id in ["9c41.07be", "9c41.11d3", "9c42.07be"] {
        running.record_call(id, &"tariff".into());
    }
    let ended = running.remove(1).unwrap();
    assert_eq!(ended.calls, BTreeMap::from([("tariff".into(), 2)]));
}

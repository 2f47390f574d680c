use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::mesh::{LostMembers, MemberChange, MemberTable};

fn member(incarnation: u64, version: u64) -> Member {
    let node = NodeId { addr: "127.0.0.1:7101".parse().unwrap(), incarnation };
    Member { version, ..Member::new(node) }
}

#[test]
fn a_later_process_replaces_the_earlier_one() {
    let mut table = MemberTable::default();
    table.upsert(member(1, 9));
    let changes = table.upsert(member(2, 1));
    let expected = [MemberChange::Gone(member(1, 9).node), MemberChange::Up(member(2, 1))];
    assert_eq!(changes, expected);
    assert_eq!(table.len(), 1);
}

#[test]
fn an_entry_that_is_not_newer_changes_nothing() {
    let mut table = MemberTable::default();
    table.upsert(member(2, 5));
    assert_eq!(table.upsert(member(2, 5)), []);
    assert_eq!(table.upsert(member(2, 4)), []);
    assert_eq!(table.upsert(member(1, 9)), []);
}

#[test]
fn the_loss_of_an_earlier_process_does_not_remove_the_later_one() {
    let mut table = MemberTable::default();
    table.upsert(member(2, 1));
    assert_eq!(table.remove(member(1, 1).node), None);
    assert_eq!(table.remove(member(2, 1).node), Some(MemberChange::Gone(member(2, 1).node)));
    assert!(table.is_empty());
}

fn nodes(count: u16) -> Vec<NodeId> {
    (1..=count).map(|port| format!("127.0.0.1:{port}@1").parse().unwrap()).collect()
}

/// Number of nodes that may now remove the lost member's data from the store.
fn removers(lost: &LostMembers, at: Duration, answering: &[NodeId]) -> usize {
    answering.iter().filter(|me| !lost.due_removals(at, **me, answering).is_empty()).count()
}

#[test]
fn one_node_after_another_may_remove_a_lost_member() {
    let answering = nodes(60);
    let mut lost = LostMembers::default();
    lost.insert(Duration::from_secs(1), "127.0.0.1:99@7".parse().unwrap());
    let counts =
        [10, 11, 15, 19, 60].map(|at| removers(&lost, Duration::from_secs(at), &answering));
    assert_eq!(counts, [0, 1, 2, 3, 4]);
}

#[test]
fn a_node_that_loses_many_members_removes_none() {
    let answering = nodes(5);
    let mut lost = LostMembers::default();
    for node in nodes(8).into_iter().skip(5) {
        lost.insert(Duration::ZERO, node);
    }
    assert_eq!(removers(&lost, Duration::from_secs(60), &answering), 0);
}

#[test]
fn a_member_that_answers_again_is_not_lost() {
    let answering = nodes(5);
    let lost_one: NodeId = "127.0.0.1:99@7".parse().unwrap();
    let mut lost = LostMembers::default();
    lost.insert(Duration::ZERO, lost_one);
    lost.record_answer(lost_one.addr);
    assert!(lost.is_empty());
    assert_eq!(removers(&lost, Duration::from_secs(60), &answering), 0);
}

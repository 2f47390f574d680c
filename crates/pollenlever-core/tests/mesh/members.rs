use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::mesh::{MemberChange, MemberTable};

fn member(incarnation: u64, version: u64) -> Member {
    let node = NodeId { addr: "127.0.0.1:7101".parse().unwrap(), incarnation };
    Member { version, ..Member::new(node) }
}

#[test]
fn a_later_process_replaces_the_earlier_one() {
    let mut table = MemberTable::default();
    table.up(member(1, 9));
    let changes = table.up(member(2, 1));
    let expected = [MemberChange::Gone(member(1, 9).node), MemberChange::Up(member(2, 1))];
    assert_eq!(changes, expected);
    assert_eq!(table.len(), 1);
}

#[test]
fn what_is_older_changes_nothing() {
    let mut table = MemberTable::default();
    table.up(member(2, 5));
    assert_eq!(table.up(member(2, 5)), []);
    assert_eq!(table.up(member(2, 4)), []);
    assert_eq!(table.up(member(1, 9)), []);
}

#[test]
fn the_end_of_an_earlier_process_leaves_the_later_one() {
    let mut table = MemberTable::default();
    table.up(member(2, 1));
    assert_eq!(table.gone(member(1, 1).node), None);
    assert_eq!(table.gone(member(2, 1).node), Some(MemberChange::Gone(member(2, 1).node)));
    assert!(table.is_empty());
}

//! [`LogEvent::ALL`] and the table of events in `docs/OPERATIONS.md` list the same events.

use std::collections::BTreeSet;

use pollenlever::mesh::LogEvent;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn every_event_is_documented_and_every_documented_one_exists() {
    let rows = PAGE.lines().filter_map(|it| it.strip_prefix("| `")?.split_once("` | "));
    let in_table = PAGE.find("| Event | When |").expect("the table of events");
    let table_end =
        in_table + PAGE[in_table..].find("\n\n").expect("the end of the table of events");
    let table = &PAGE[in_table..table_end];
    let documented: BTreeSet<&str> =
        rows.map(|(name, _)| name).filter(|it| table.contains(&format!("| `{it}` |"))).collect();
    let listed: BTreeSet<&str> = LogEvent::ALL.iter().map(|it| it.as_str()).collect();
    assert_eq!(documented, listed);
    assert_eq!(listed.len(), LogEvent::ALL.len());
}

//! Tests of the burn report: sums, burn rates, outlook, and missing nodes and regions.

use std::collections::BTreeMap;

use pollenlever::control::MemberStatus;
use pollenlever::telemetry::{KindBurn, KindObjective, MultiWindowCounts, NodeBurn, WindowCounts};
use pollenlever::tool::Exit;
use pollenlever::tool::burn::{BurnReport, Declarations, NodeAnswer, Outlook, merge};
use pollenlever::tool::node::NodeRequestError;
use pollenlever::tool::output::Report;

const DAY_S: u64 = 24 * 3600;
const OBJECTIVE: KindObjective = KindObjective { good_ratio: 0.999, window_s: 30 * DAY_S };

fn member(entry: &str, region: &str) -> MemberStatus {
    MemberStatus {
        node: format!("{entry}@1"),
        entry: entry.to_owned(),
        region: region.to_owned(),
        zone: format!("{region}-a"),
        service: Some("balance".to_owned()),
        state: "ready".to_owned(),
        slots: 36,
    }
}

/// Returns the counts of a node that has run for longer than all windows; `counts` are the good and
/// the shed calls of each window.
fn kind(service: &str, kind: &str, counts: [(u64, u64); 4]) -> KindBurn {
    let windows = MultiWindowCounts::WINDOWS_S.into_iter().zip(counts);
    let windows = windows.map(|(window_s, (good, shed))| {
        let bad = BTreeMap::from([("overloaded".to_owned(), shed)]);
        let bad = if shed > 0 { bad } else { BTreeMap::new() };
        WindowCounts { window_s, covered_s: window_s, good, invalid: 0, bad }
    });
    KindBurn {
        service: service.to_owned(),
        kind: kind.to_owned(),
        objective: Some(OBJECTIVE),
        windows: windows.collect(),
    }
}

fn answer(entry: &str, region: &str, kinds: Vec<KindBurn>) -> NodeAnswer {
    let burn = NodeBurn { uptime_s: 4 * DAY_S, kinds, ..NodeBurn::default() };
    NodeAnswer { member: member(entry, region), burn: Ok(burn) }
}

fn missing(entry: &str, region: &str) -> NodeAnswer {
    let burn =
        Err(NodeRequestError { node: entry.to_owned(), reason: "connection refused".to_owned() });
    NodeAnswer { member: member(entry, region), burn }
}

fn report(answers: &[NodeAnswer]) -> BurnReport {
    merge(answers, &Declarations::default())
}

/// Declares a test for each case: counts by window on one node, and the expected outlook.
macro_rules! outlooks {
    ($($name:ident: $counts:expr => $outlook:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = report(&[answer("10.0.0.1:7000", "veneto", vec![kind("a", "b", $counts)])]);
            assert_eq!(report.rows[0].outlook, $outlook);
        }
    )*};
}

outlooks! {
    kind_without_bad_calls_is_holding: [(100, 0); 4] => Outlook::Holding;
    kind_without_calls_is_not_holding: [(0, 0); 4] => Outlook::NoCalls;
    burn_rate_within_budget_is_holding: [(9_995, 5); 4] => Outlook::Holding;
    spike_that_has_ended_is_holding: [(1000, 0), (900, 100), (9_000, 100), (99_900, 100)] => Outlook::Holding;
    sustained_burn_is_breaching: [(990, 10), (990, 10), (9_990, 10), (99_990, 10)]
        => Outlook::Breaching { in_s: 256_608 };
    budget_used_up_is_breached: [(500, 500); 4] => Outlook::Breached;
}

#[test]
fn budget_is_computed_from_a_window_not_longer_than_the_objective() {
    let objective = Some(KindObjective { good_ratio: 0.99, window_s: DAY_S });
    let counts = [(100, 0), (100, 0), (980, 20), (0, 1000)];
    let row = KindBurn { objective, ..kind("a", "b", counts) };
    let report = report(&[answer("10.0.0.1:7000", "veneto", vec![row])]);
    assert!((report.rows[0].budget_left.unwrap() - 0.5).abs() < 1e-6);
}

#[test]
fn counts_of_nodes_are_summed() {
    let counts = [(990, 10), (990, 10), (990, 10), (990, 10)];
    let answers = ["10.0.0.1:7000", "10.0.0.2:7000"]
        .map(|it| answer(it, "veneto", vec![kind("balance", "check", counts)]));
    let report = report(&answers);
    let window = &report.rows[0].windows[0];
    assert_eq!((window.good, window.bad, window.bad_by_reason["overloaded"]), (1980, 20, 20));
    assert!((window.burn_rate.unwrap() - 10.0).abs() < 1e-6);
    assert_eq!(report.exit(), Exit::Done);
}

#[test]
fn outlook_with_a_missing_node_is_incomplete_unless_breached() {
    let good = kind("balance", "check", [(100, 0); 4]);
    let bad = kind("charging", "charge", [(500, 500); 4]);
    let report = report(&[
        answer("10.0.0.1:7000", "veneto", vec![good, bad]),
        missing("10.0.0.2:7000", "veneto"),
    ]);
    let outlooks: Vec<Outlook> = report.rows.iter().map(|it| it.outlook).collect();
    assert_eq!(outlooks, [Outlook::Breached, Outlook::Incomplete]);
    assert_eq!(report.exit(), Exit::Incomplete);
}

#[test]
fn region_without_an_answer_is_listed() {
    let declared = Declarations { regions: vec!["veneto".into(), "emilia".into()], kinds: vec![] };
    let good = kind("balance", "check", [(100, 0); 4]);
    let report = merge(&[answer("10.0.0.1:7000", "veneto", vec![good])], &declared);
    assert_eq!(report.regions_without_answer, ["emilia"]);
    assert_eq!(report.rows[0].outlook, Outlook::Incomplete);
}

#[test]
fn nodes_that_started_within_the_longest_window_are_counted_as_recently_started() {
    let mut recent = answer("10.0.0.1:7000", "veneto", Vec::new());
    recent.burn.as_mut().unwrap().uptime_s = DAY_S;
    let report = report(&[recent, answer("10.0.0.2:7000", "veneto", Vec::new())]);
    assert_eq!(report.recently_started, 1);
    assert!(report.table().contains("1 of them started within 3 d"), "{}", report.table());
}

#[test]
fn report_without_nodes_is_incomplete() {
    assert_eq!(report(&[]).exit(), Exit::Incomplete);
}

fn example() -> BurnReport {
    let sustained = [(990, 10), (11_880, 120), (71_900, 200), (863_000, 400)];
    let slight = [(1200, 0), (14_390, 10), (86_300, 30), (1_036_000, 100)];
    report(&[
        answer("10.0.0.1:7000", "lombardia", vec![kind("charging", "charge", sustained)]),
        answer("10.0.0.2:7000", "veneto", vec![kind("balance", "check", slight)]),
        missing("10.0.0.3:7000", "emilia"),
        answer("10.0.0.4:7000", "emilia", vec![kind("<history>", "list", [(0, 0); 4])]),
    ])
}

/// Declares a test for each output format of the example report, compared with a snapshot.
macro_rules! formats {
    ($($name:ident: $render:expr;)*) => {$(
        #[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), $render);
        }
    )*};
}

formats! {
    example_as_table: example().table();
    example_as_json: example().json();
    example_as_html: example().html().unwrap();
}

#[test]
fn html_page_is_self_contained_and_escapes_names() {
    let page = example().html().unwrap();
    assert!(!page.contains("<history>") && page.contains("&lt;history&gt;"));
    assert!(!page.contains("src=") && !page.contains("href=") && !page.contains("url("));
}

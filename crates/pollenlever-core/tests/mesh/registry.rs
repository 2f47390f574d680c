use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{
    DepartedTarget, KeptDepartures, RegistryChange, TargetRegistry, TargetReport,
};

use crate::cases;

const NOW: Duration = Duration::from_secs(1);

fn ready(instance: &str, started: u64, sequence: u64) -> TargetReport {
    TargetReport {
        instance: instance.into(),
        started,
        sequence,
        service: "balance".into(),
        slots: 36,
        is_draining: false,
        cold_remaining: Duration::ZERO,
    }
}

fn draining(instance: &str, started: u64, sequence: u64) -> TargetReport {
    TargetReport { is_draining: true, ..ready(instance, started, sequence) }
}

/// Checks the change made by the last of several reports, and which target serves afterwards.
fn check(reports: &[TargetReport], last: RegistryChange, serving: Option<&str>) {
    let mut registry = TargetRegistry::default();
    let changes: Vec<_> =
        reports.iter().map(|it| registry.handle_report(NOW, it.clone())).collect();
    assert_eq!(changes.last(), Some(&last));
    assert_eq!(registry.serving().map(|it| &*it.instance), serving);
}

cases! { check:
    first_report_opens_the_target => &[ready("a", 10, 1)], RegistryChange::Opened, Some("a");
    later_report_refreshes_the_target => &[ready("a", 10, 1), ready("a", 10, 2)], RegistryChange::Refreshed, Some("a");
    repeated_sequence_is_stale => &[ready("a", 10, 2), ready("a", 10, 2)], RegistryChange::Stale, Some("a");
    lower_sequence_is_stale => &[draining("a", 10, 5), ready("a", 10, 4)], RegistryChange::Stale, None;
    draining_closes_the_target => &[ready("a", 10, 1), draining("a", 10, 2)], RegistryChange::Closed, None;
    draining_target_is_not_reopened_by_a_later_report => &[draining("a", 10, 1), ready("a", 10, 2)], RegistryChange::Refreshed, None;
    restart_under_the_same_id_opens_the_target => &[draining("a", 10, 9), ready("a", 11, 1)], RegistryChange::Opened, Some("a");
    successor_replaces_the_target => &[ready("a", 10, 9), ready("b", 11, 1)], RegistryChange::Opened, Some("b");
    late_report_of_a_predecessor_is_stale => &[ready("b", 11, 1), ready("a", 10, 99)], RegistryChange::Stale, Some("b");
    late_drain_of_a_predecessor_is_stale => &[ready("b", 11, 1), draining("a", 10, 99)], RegistryChange::Stale, Some("b");
}

#[test]
fn a_departure_closes_and_a_late_report_does_not_reopen() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 10, 1));
    assert_eq!(registry.handle_departure(&"a".into(), Some(10), 50), RegistryChange::Closed);
    assert_eq!(registry.handle_report(NOW, ready("a", 10, 2)), RegistryChange::Stale);
    assert!(registry.serving().is_none());
}

#[test]
fn a_departure_without_a_start_time_applies_to_the_known_process() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 10, 1));
    assert_eq!(registry.handle_departure(&"a".into(), None, 50), RegistryChange::Closed);
    assert_eq!(registry.handle_report(NOW, ready("a", 11, 1)), RegistryChange::Opened);
}

#[test]
fn a_late_departure_of_an_earlier_process_does_not_close_the_later_one() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 11, 1));
    assert_eq!(registry.handle_departure(&"a".into(), Some(10), 50), RegistryChange::Stale);
    assert!(registry.serving().is_some());
}

/// A departure that the node learns only after a late report has opened the gate.
#[test]
fn a_past_departure_closes_the_target_and_stays_behind_later_ones() {
    let past = DepartedTarget { instance: "a".into(), started: 10 };
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 9, 1));
    assert_eq!(registry.handle_past_departure(past.clone()), RegistryChange::Closed);
    assert_eq!(registry.departed(), Some(past.clone()));
    assert_eq!(registry.handle_report(NOW, ready("a", 10, 2)), RegistryChange::Stale);
    let mut registry = TargetRegistry::default();
    registry.handle_departure(&"b".into(), Some(20), 50);
    assert_eq!(registry.handle_past_departure(past), RegistryChange::Refreshed);
    assert_eq!(registry.departed(), Some(DepartedTarget { instance: "b".into(), started: 20 }));
}

#[test]
fn a_process_that_left_before_the_node_started_is_not_opened() {
    let mut registry = TargetRegistry::default();
    registry.handle_past_departure(DepartedTarget { instance: "a".into(), started: 10 });
    assert_eq!(registry.handle_report(NOW, ready("a", 10, 7)), RegistryChange::Stale);
    assert!(registry.serving().is_none());
}

#[test]
fn an_unreachable_target_serves_again_after_its_next_report() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 10, 1));
    registry.mark_unreachable();
    assert!(registry.serving().is_none());
    assert_eq!(registry.handle_report(NOW, ready("a", 10, 2)), RegistryChange::Opened);
}

/// Guards against a departure that is lost when a node restarts between a target's reports: the
/// departure, without a start time, was acknowledged but not stored, so the target's next report
/// opened the gate again.
#[test]
fn a_departure_before_any_report_keeps_the_target_out() {
    let mut registry = TargetRegistry::default();
    registry.handle_departure(&"a".into(), None, 50);
    assert_eq!(registry.handle_report(NOW, ready("a", 10, 7)), RegistryChange::Stale);
    assert!(registry.serving().is_none());
    assert_eq!(registry.departed(), Some(DepartedTarget { instance: "a".into(), started: 50 }));
    assert_eq!(registry.handle_report(NOW, ready("a", 51, 1)), RegistryChange::Opened);
}

/// The clock of the VM was set back between the starts of the two processes.
#[test]
fn a_successor_with_an_earlier_start_takes_over_once_the_predecessor_is_silent() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 2000, 9));
    let soon = NOW + Duration::from_secs(2);
    assert_eq!(registry.handle_report(soon, ready("b", 1000, 1)), RegistryChange::Stale);
    let later = NOW + Duration::from_secs(7);
    assert_eq!(registry.handle_report(later, ready("b", 1000, 2)), RegistryChange::Opened);
    assert_eq!(&*registry.serving().unwrap().instance, "b");
    assert_eq!(registry.handle_report(later, ready("b", 1000, 3)), RegistryChange::Refreshed);
}

#[test]
fn a_target_that_has_left_stays_out_even_if_its_successor_is_silent() {
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, ready("a", 1000, 9));
    registry.handle_departure(&"a".into(), Some(1000), 50);
    registry.handle_report(NOW, ready("b", 2000, 1));
    let later = NOW + Duration::from_secs(60);
    assert_eq!(registry.handle_report(later, ready("a", 1000, 10)), RegistryChange::Stale);
}

// DRAIN: a late report of a predecessor, which is taken once the target is silent, made the node forget that
// the target drains (found by tests/departures).
#[test]
fn a_late_report_of_a_predecessor_makes_a_drain_forgotten() {
    const LATER: Duration = Duration::from_secs(20);
    let mut registry = TargetRegistry::default();
    registry.handle_report(NOW, draining("a", 11, 2));
    registry.handle_report(LATER, ready("a", 10, 1));
    assert_eq!(registry.handle_report(LATER, ready("a", 11, 1)), RegistryChange::Stale);
}

// DRAIN: of two departures from before a restart, the older one was written in place of the later one (found
// by tests/departures).
#[test]
fn an_older_past_departure_comes_before_a_later_one() {
    let past = |started| DepartedTarget { instance: "a".into(), started };
    for order in [[1, 2], [2, 1]] {
        let mut registry = TargetRegistry::default();
        for started in order {
            registry.handle_past_departure(past(started));
        }
        assert_eq!(registry.departed(), Some(past(2)));
    }
}

// DRAIN: a restarted node that knew an older departure alone replaced the later one at its keepers (found by
// tests/departures).
#[test]
fn an_older_departure_replaces_a_later_one_at_its_keeper() {
    let node = |incarnation| NodeId { addr: ([127, 0, 0, 1], 7101).into(), incarnation };
    let departed = |started| DepartedTarget { instance: "a".into(), started };
    let mut kept = KeptDepartures::default();
    assert!(kept.keep(node(1), departed(2)));
    assert!(kept.keep(node(2), departed(1)));
    assert_eq!(kept.begin_recall(node(2)), [departed(2)]);
    for started in 3..8 {
        assert!(kept.keep(node(3), departed(started)));
    }
    assert_eq!(kept.begin_recall(node(4)).len(), 4);
}

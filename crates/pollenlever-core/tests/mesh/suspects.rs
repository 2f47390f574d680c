use std::time::Duration;

use pollenlever_core::mesh::CrashSuspects;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn two_signs_of_the_same_crash_are_counted_once() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.record_target_crash(NOW, 1, [7]).len(), 1);
    suspects.record_interrupted(NOW, 7);
    assert!(suspects.record_target_crash(NOW, 1, [7]).is_empty());
    assert!(!suspects.has_reached_crash_limit(7));
    assert_eq!(suspects.record_target_crash(NOW, 2, [7])[0].crashes, 2);
    assert!(suspects.has_reached_crash_limit(7));
}

#[test]
fn a_run_interrupted_long_before_a_crash_is_not_counted() {
    let mut suspects = CrashSuspects::default();
    suspects.record_interrupted(NOW, 7);
    assert!(suspects.record_target_crash(NOW + Duration::from_secs(9), 1, []).is_empty());
}

#[test]
fn crashes_at_several_gates_add_up() {
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    let suspicions = first.record_target_crash(NOW, 1, [7]);
    second.merge_remote(NOW, &suspicions);
    let suspicions = second.record_target_crash(NOW, 5, [7]);
    first.merge_remote(NOW, &suspicions);
    assert!(first.has_reached_crash_limit(7) && second.has_reached_crash_limit(7));
    assert_eq!((first.count_at_crash_limit(), second.count_at_crash_limit()), (1, 1));
}

#[test]
fn answered_content_is_not_suspect_despite_reports_of_other_gates() {
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    second.record_answered(7);
    for started in 1..4 {
        second.merge_remote(NOW, &first.record_target_crash(NOW, started, [7]));
    }
    assert!(first.has_reached_crash_limit(7) && !second.has_reached_crash_limit(7));
}

#[test]
fn crashes_are_forgotten_after_two_minutes() {
    let mut suspects = CrashSuspects::default();
    suspects.record_target_crash(NOW, 1, [7]);
    suspects.record_target_crash(NOW, 2, [7]);
    suspects.merge_remote(NOW + Duration::from_secs(121), &[]);
    assert!(!suspects.has_reached_crash_limit(7));
}

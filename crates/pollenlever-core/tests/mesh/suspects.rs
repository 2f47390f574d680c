use std::time::Duration;

use pollenlever_core::mesh::CrashSuspects;

const NOW: Duration = Duration::from_secs(100);

#[test]
fn two_signs_of_the_same_crash_are_counted_once() {
    let mut suspects = CrashSuspects::default();
    assert_eq!(suspects.target_crashed(NOW, 1, [7]).len(), 1);
    suspects.broken(NOW, 7);
    assert!(suspects.target_crashed(NOW, 1, [7]).is_empty());
    assert!(!suspects.is_convicted(7));
    assert_eq!(suspects.target_crashed(NOW, 2, [7])[0].crashes, 2);
    assert!(suspects.is_convicted(7));
}

#[test]
fn a_run_interrupted_long_before_a_crash_is_not_counted() {
    let mut suspects = CrashSuspects::default();
    suspects.broken(NOW, 7);
    assert!(suspects.target_crashed(NOW + Duration::from_secs(9), 1, []).is_empty());
}

#[test]
fn crashes_at_several_gates_add_up() {
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    let news = first.target_crashed(NOW, 1, [7]);
    second.heard(NOW, &news);
    let news = second.target_crashed(NOW, 5, [7]);
    first.heard(NOW, &news);
    assert!(first.is_convicted(7) && second.is_convicted(7));
    assert_eq!((first.convicted(), second.convicted()), (1, 1));
}

#[test]
fn answered_content_is_not_suspect_despite_reports_of_other_gates() {
    let (mut first, mut second) = (CrashSuspects::default(), CrashSuspects::default());
    second.answered(7);
    for started in 1..4 {
        second.heard(NOW, &first.target_crashed(NOW, started, [7]));
    }
    assert!(first.is_convicted(7) && !second.is_convicted(7));
}

#[test]
fn crashes_are_forgotten_after_two_minutes() {
    let mut suspects = CrashSuspects::default();
    suspects.target_crashed(NOW, 1, [7]);
    suspects.target_crashed(NOW, 2, [7]);
    suspects.heard(NOW + Duration::from_secs(121), &[]);
    assert!(!suspects.is_convicted(7));
}

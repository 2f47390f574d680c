use pollenlever_core::Timestamp;
use pollenlever_core::admission::{
    Admission, AdmissionSettings, LimitKind, PriorityAdmission, RunOutcome, Ticket, Verdict,
};
use proptest::prelude::*;

use super::{cases, ms, ticket};

/// The limit falls to about `real` while a target sheds all further runs, and rises to the declared
/// slots once the target runs that many.
fn finds_real_slots(kind: LimitKind, real: u32) {
    let mut limit = kind.build();
    limit.set_slots(36);
    let mut run_with_slots = |from: u64, real: u32| {
        for step in 0..200 {
            let now = ms(from + step * 20);
            let in_flight = limit.get();
            for index in 0..in_flight {
                let good = index < real;
                let outcome = if good { RunOutcome::Answered } else { RunOutcome::ShedByTarget };
                limit.record_finished(now, ms(if good { 20 } else { 1 }), outcome, in_flight);
            }
        }
        limit.get()
    };
    let learned = run_with_slots(0, real);
    assert!(learned >= real.saturating_sub(2) && learned <= real + 3, "{learned} for {real}");
    assert_eq!(run_with_slots(4000, 36), 36);
}

cases! {
    finds_real_slots:
    finds_ten_real_slots(LimitKind::Concurrency, 10);
    finds_one_real_slot(LimitKind::Concurrency, 1);
    finds_thirty_real_slots(LimitKind::Concurrency, 30);
}

fn arb_outcome() -> impl Strategy<Value = RunOutcome> {
    prop_oneof![
        Just(RunOutcome::Answered),
        Just(RunOutcome::ShedByTarget),
        Just(RunOutcome::Failed),
        Just(RunOutcome::Cancelled),
    ]
}

/// For any sequence of runs, a limit stays between 1 and the slots, also after the slots are
/// lowered.
fn stays_within_slots(kind: LimitKind) {
    let config = ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    };
    let runs = prop::collection::vec((arb_outcome(), 0..200u64, 0..3000u64), 1..300);
    proptest!(config, |(slots in 1..40u32, fewer in 1..40u32, runs in runs)| {
        let mut limit = kind.build();
        limit.set_slots(slots);
        let mut now = 0;
        for (index, (outcome, gap, time)) in runs.into_iter().enumerate() {
            now += gap;
            if index == 100 {
                limit.set_slots(slots.min(fewer));
            }
            limit.record_finished(ms(now), ms(time), outcome, limit.get());
            prop_assert!((1..=slots).contains(&limit.get()));
            prop_assert!(index < 100 || limit.get() <= slots.min(fewer));
        }
    });
}

cases! {
    stays_within_slots:
    concurrency_limit_stays_within_slots(LimitKind::Concurrency);
    gradient_limit_stays_within_slots(LimitKind::Gradient);
}

/// Offers `count` requests of one depth to the gate. Returns how many of them run.
fn offer_and_count_runs(
    gate: &mut PriorityAdmission,
    now: Timestamp,
    depth: u8,
    count: u64,
) -> usize {
    let mut verdicts = Vec::new();
    for id in 0..count {
        let id = (u64::from(depth) + 1) * 1_000_000 + now.as_millis() as u64 * 100 + id;
        let ticket = Ticket { depth, deadline: now + ms(5000), ..ticket(id) };
        gate.offer(now, ticket, &mut verdicts);
    }
    verdicts.iter().filter(|it| matches!(it, Verdict::Run(_))).count()
}

/// Calls of depth 1 fail because of a service that only they need. The limit of requests of depth 0
/// must not fall with theirs.
#[test]
fn failures_of_one_class_do_not_lower_the_limit_of_another() {
    let settings = AdmissionSettings { limit: LimitKind::Failures, ..AdmissionSettings::default() };
    let mut gate = PriorityAdmission::new(settings);
    gate.set_slots(ms(0), 36);
    gate.set_makes_calls(true);
    for step in 0..400 {
        let now = ms(step * 10);
        let mut verdicts = Vec::new();
        let call = Ticket { depth: 1, deadline: now + ms(5000), ..ticket(step) };
        gate.offer(now, call, &mut verdicts);
        gate.record_finished(now + ms(5), step, ms(5), RunOutcome::Failed, &mut verdicts);
    }
    let now = ms(4000);
    assert!(offer_and_count_runs(&mut gate, now, 1, 30) < 10, "calls are limited");
    assert!(offer_and_count_runs(&mut gate, now, 0, 20) == 20, "requests of callers are not");
}

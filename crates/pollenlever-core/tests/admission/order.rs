use std::collections::BTreeSet;
use std::time::Duration;

use pollenlever_core::admission::{Admission, AdmissionSettings, PriorityAdmission, Verdict};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::Importance;
use proptest::prelude::*;

use super::{cases, finish, gate, ms, offer, ticket};
use pollenlever_core::admission::Ticket;

/// Checks that `first` runs before `second` when both wait, in either order of arrival.
fn runs_before(first: Ticket, second: Ticket) {
    for is_reversed in [false, true] {
        let mut gate = gate(1);
        assert_eq!(offer(&mut gate, ms(0), ticket(9)), [Verdict::Run(9)]);
        let (a, b) = (first.clone(), second.clone());
        let (a, b) = if is_reversed { (b, a) } else { (a, b) };
        assert_eq!(offer(&mut gate, ms(1), a), []);
        assert_eq!(offer(&mut gate, ms(1), b), []);
        assert_eq!(finish(&mut gate, ms(2), 9, ms(2)), [Verdict::Run(first.id)]);
    }
}

cases! {
    runs_before:
    importance_goes_first(
        Ticket { importance: Importance::Critical, ..ticket(1) },
        Ticket { importance: Importance::High, depth: 3, ..ticket(2) }
    );
    deeper_calls_go_before_new_chains(Ticket { depth: 2, ..ticket(1) }, ticket(2));
    workspaces_without_runs_go_first(Ticket { workspace: "b".into(), ..ticket(1) }, ticket(2));
}

#[test]
fn a_full_queue_sheds_the_least_important_request() {
    let settings = AdmissionSettings { max_queue: 1, ..AdmissionSettings::default() };
    let mut gate = PriorityAdmission::new(settings);
    gate.set_slots(ms(0), 1);
    offer(&mut gate, ms(0), ticket(1));
    assert_eq!(offer(&mut gate, ms(1), ticket(2)), []);
    let critical = Ticket { importance: Importance::Critical, ..ticket(3) };
    let verdicts = offer(&mut gate, ms(1), critical);
    assert!(matches!(verdicts[..], [Verdict::Shed { id: 2, error: ErrorKind::Overloaded, .. }]));
}

#[test]
fn a_request_that_cannot_finish_is_shed_at_once() {
    let mut gate = gate(1);
    offer(&mut gate, ms(0), ticket(1));
    finish(&mut gate, ms(100), 1, ms(100));
    offer(&mut gate, ms(100), ticket(2));
    let verdicts = offer(&mut gate, ms(110), Ticket { deadline: ms(200), ..ticket(3) });
    let expected = ErrorKind::DeadlineTooShort;
    assert!(matches!(verdicts[..], [Verdict::Shed { id: 3, error, .. }] if error == expected));
}

#[test]
fn a_long_estimate_does_not_shed_requests_forever() {
    let mut gate = gate(1);
    offer(&mut gate, ms(0), ticket(1));
    finish(&mut gate, ms(5000), 1, ms(5000));
    let short = |id, at: u64| Ticket { deadline: ms(at + 500), ..ticket(id) };
    assert!(matches!(offer(&mut gate, ms(5000), short(2, 5000))[..], [Verdict::Shed { .. }]));
    assert_eq!(offer(&mut gate, ms(7000), short(3, 7000)), [Verdict::Run(3)]);
}

#[test]
fn a_removed_request_gets_no_verdict() {
    let mut gate = gate(1);
    offer(&mut gate, ms(0), ticket(1));
    offer(&mut gate, ms(0), ticket(2));
    assert!(gate.remove(ms(1), 2));
    assert!(!gate.remove(ms(1), 2));
    assert_eq!(finish(&mut gate, ms(2), 1, ms(2)), []);
    assert_eq!(gate.next_wakeup(), None);
}

#[test]
fn a_standing_queue_is_kept_short() {
    let mut gate = gate(1);
    offer(&mut gate, ms(0), ticket(1));
    finish(&mut gate, ms(50), 1, ms(50));
    offer(&mut gate, ms(50), ticket(2));
    for id in 3..100 {
        offer(&mut gate, ms(50), ticket(id));
    }
    assert_eq!(gate.load(ms(50)).queued, 97);
    let mut shed = Vec::new();
    gate.tick(gate.next_wakeup().unwrap(), &mut shed);
    assert_eq!(shed.len(), 97, "all have waited longer than a standing queue allows");
}

#[test]
fn retry_after_is_spread() {
    let mut gate = gate(1);
    let mut found = BTreeSet::new();
    for id in 0..50 {
        for verdict in offer(&mut gate, ms(1), Ticket { deadline: ms(0), ..ticket(id) }) {
            let Verdict::Shed { retry_after, .. } = verdict else { continue };
            assert!(retry_after >= Duration::from_millis(100));
            found.insert(retry_after);
        }
    }
    assert!(found.len() > 30, "{found:?}");
}

fn arb_ticket() -> impl Strategy<Value = Ticket> {
    (0..4usize, 0..3u8, 0..4u64, 1..400u64).prop_map(|(importance, depth, workspace, deadline)| {
        Ticket {
            importance: Importance::ALL[importance],
            depth,
            workspace: format!("workspace-{workspace}").into(),
            deadline: ms(deadline),
            ..ticket(0)
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Each ticket gets exactly one verdict, no more requests run than there are slots, and the
    /// same input gives the same verdicts.
    #[test]
    fn one_verdict_per_ticket(tickets in prop::collection::vec((arb_ticket(), 0..20u64), 1..80)) {
        let verdicts = run(&tickets);
        prop_assert_eq!(&verdicts, &run(&tickets));
        let ids: BTreeSet<_> = verdicts.iter().map(id_of).collect();
        prop_assert_eq!(ids.len(), verdicts.len());
        prop_assert_eq!(ids.len(), tickets.len());
    }
}

fn id_of(verdict: &Verdict) -> u64 {
    match verdict {
        Verdict::Run(id) | Verdict::Shed { id, .. } => *id,
    }
}

/// Offers all tickets to a gate with two slots and runs of 15 ms, then waits until all have ended.
fn run(tickets: &[(Ticket, u64)]) -> Vec<Verdict> {
    let mut gate = gate(2);
    let mut all = Vec::new();
    let mut running = Vec::new();
    let mut offers: Vec<_> = Vec::new();
    let mut at = 0;
    for (index, (ticket, gap)) in tickets.iter().enumerate() {
        at += gap;
        let id = index as u64;
        offers.push((ms(at), Ticket { id, deadline: ms(at) + ticket.deadline, ..ticket.clone() }));
    }
    for step in 0..at + 1000 {
        let now = ms(step);
        let mut out = Vec::new();
        let ended: Vec<_> = running.extract_if(.., |(_, end)| *end <= now).collect();
        for (id, _) in ended {
            out.extend(finish(&mut gate, now, id, ms(15)));
        }
        for (_, ticket) in offers.extract_if(.., |(at, _)| *at <= now) {
            out.extend(offer(&mut gate, now, ticket));
        }
        gate.tick(now, &mut out);
        running.extend(out.iter().filter_map(|it| match it {
            Verdict::Run(id) => Some((*id, now + ms(15))),
            Verdict::Shed { .. } => None,
        }));
        assert!(running.len() <= 2);
        all.append(&mut out);
    }
    all
}

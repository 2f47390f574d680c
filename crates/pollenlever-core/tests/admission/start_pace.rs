use pollenlever_core::admission::{Admission, Ticket, Verdict};
use pollenlever_core::config::Importance;
use pollenlever_core::pace::OVERFLOW_WAIT;

use super::{finish, gate, ms, offer, ticket};

/// Guards against a pace that keeps work from the only target: it waits for a moment, then the most
/// important request runs first.
#[test]
fn requests_run_above_the_pace_once_they_have_waited() {
    let mut gate = gate(3);
    gate.set_start_pace(Some(1));
    assert_eq!(offer(&mut gate, ms(0), ticket(1)), [Verdict::Run(1)]);
    assert_eq!(offer(&mut gate, ms(1), ticket(2)), []);
    let critical = Ticket { importance: Importance::Critical, ..ticket(3) };
    assert_eq!(offer(&mut gate, ms(1), critical), []);
    assert_eq!(offer(&mut gate, ms(2), ticket(4)), []);
    assert_eq!(gate.next_wakeup(), Some(ms(1) + OVERFLOW_WAIT));
    let mut verdicts = Vec::new();
    gate.tick(ms(1) + OVERFLOW_WAIT, &mut verdicts);
    assert_eq!(verdicts, [Verdict::Run(3), Verdict::Run(2)]);
    verdicts.clear();
    gate.tick(ms(2) + OVERFLOW_WAIT, &mut verdicts);
    assert_eq!(verdicts, [], "all slots are in use");
}

#[test]
fn the_pace_is_the_reported_limit_until_it_ends() {
    let mut gate = gate(3);
    gate.set_start_pace(Some(2));
    for id in 1..=3 {
        offer(&mut gate, ms(0), ticket(id));
    }
    assert_eq!((gate.load(ms(0)).limit, gate.load(ms(0)).in_flight), (2, 2));
    gate.set_start_pace(None);
    assert_eq!(gate.load(ms(0)).limit, 3);
    assert_eq!(finish(&mut gate, ms(1), 1, ms(1)), [Verdict::Run(3)]);
}

use std::collections::BTreeMap;

use pollenlever_core::admission::{Ticket, Verdict};
use pollenlever_core::id::StreamId;

use super::{finish, gate, ms, offer, ticket};

/// Customer `heavy` offers 1000 requests per second, `light` 100, and the gate runs 200. Each must
/// get nearly half of the runs.
#[test]
fn a_heavy_customer_does_not_reduce_the_share_of_another() {
    let mut gate = gate(4);
    let mut running: Vec<(u64, StreamId)> = Vec::new();
    let mut customers = BTreeMap::new();
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut id = 0;
    for now in 0..5000 {
        let mut verdicts = Vec::new();
        for (_, id) in running.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>() {
            verdicts.extend(finish(&mut gate, ms(now), id, ms(20)));
        }
        let light = (now % 10 == 0).then_some("light");
        for customer in ["heavy"].into_iter().chain(light) {
            id += 1;
            customers.insert(id, customer);
            let deadline = ms(now + 500);
            let ticket = Ticket { customer: customer.into(), deadline, ..ticket(id) };
            verdicts.extend(offer(&mut gate, ms(now), ticket));
        }
        for verdict in verdicts {
            let Verdict::Run(id) = verdict else { continue };
            running.push((now + 20, id));
            *runs.entry(customers[&id]).or_default() += 1;
        }
    }
    assert!(runs["light"] >= 475, "{runs:?}");
    assert!(runs["heavy"] >= 475, "{runs:?}");
}

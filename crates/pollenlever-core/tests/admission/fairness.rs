use std::collections::BTreeMap;

use pollenlever_core::admission::{Ticket, Verdict};
use pollenlever_core::id::StreamId;

use super::{finish, gate, ms, offer, ticket};

/// Workspace `heavy` offers 1000 requests per second, `light` 100, and the gate runs 200. Each must
/// get nearly half of the runs.
#[test]
fn a_heavy_workspace_does_not_reduce_the_share_of_another() {
    let mut gate = gate(4);
    let mut running: Vec<(u64, StreamId)> = Vec::new();
    let mut workspaces = BTreeMap::new();
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let mut id = 0;
    for now in 0..5000 {
        let mut verdicts = Vec::new();
        for (_, id) in running.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>() {
            verdicts.extend(finish(&mut gate, ms(now), id, ms(20)));
        }
        let light = (now % 10 == 0).then_some("light");
        for workspace in ["heavy"].into_iter().chain(light) {
            id += 1;
            workspaces.insert(id, workspace);
            let deadline = ms(now + 500);
            let ticket = Ticket { workspace: workspace.into(), deadline, ..ticket(id) };
            verdicts.extend(offer(&mut gate, ms(now), ticket));
        }
        for verdict in verdicts {
            let Verdict::Run(id) = verdict else { continue };
            running.push((now + 20, id));
            *runs.entry(workspaces[&id]).or_default() += 1;
        }
    }
    assert!(runs["light"] >= 475, "{runs:?}");
    assert!(runs["heavy"] >= 475, "{runs:?}");
}

/// Load pattern: a service that many chains call is overloaded, and callers also send it requests
/// of their own. These are few, so shedding all of them would hardly help the calls. They must not
/// be refused much more often than the calls.
#[test]
fn new_chains_are_not_starved_by_deeper_calls_of_the_same_importance() {
    const WORK_MS: u64 = 20;
    let mut gate = gate(4);
    let mut running: Vec<(u64, StreamId)> = Vec::new();
    let mut depths = BTreeMap::new();
    let (mut offered, mut started) = ([0.0; 2], [0.0; 2]);
    let mut id = 0;
    for now in 0..10_000 {
        let mut verdicts = Vec::new();
        for (_, id) in running.extract_if(.., |(end, _)| *end <= now).collect::<Vec<_>>() {
            verdicts.extend(finish(&mut gate, ms(now), id, ms(WORK_MS)));
        }
        // 250 calls and 20 new chains a second, for 200 runs a second.
        let call = (now % 4 == 0).then_some(2);
        let new_chain = (now % 50 == 0).then_some(0);
        for depth in call.into_iter().chain(new_chain) {
            id += 1;
            depths.insert(id, usize::from(depth > 0));
            offered[usize::from(depth > 0)] += 1.0;
            let deadline = ms(now + 500);
            verdicts.extend(offer(&mut gate, ms(now), Ticket { depth, deadline, ..ticket(id) }));
        }
        for verdict in verdicts {
            let Verdict::Run(id) = verdict else { continue };
            running.push((now + WORK_MS, id));
            started[depths[&id]] += 1.0;
        }
    }
    let (new_chains, calls) = (started[0] / offered[0], started[1] / offered[1]);
    assert!(new_chains >= 0.9 * calls, "{new_chains} of the new chains, {calls} of the calls");
    assert!(calls >= 0.65, "{calls}");
}

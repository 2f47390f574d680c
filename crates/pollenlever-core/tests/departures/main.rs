//! Drawn histories of departures: reports that come late or again, a store that refuses the node, loses its
//! answers or comes back from a copy, restarts of the node and of those that keep its departure, in any
//! order. The decisions are those of the product; the network and the store are drawn.

mod process;
mod store;
mod world;

use process::Design;
use world::{Faults, World};

/// Histories of each check of the present design.
const HISTORIES: u64 = 20_000;
/// Histories within which an earlier design has to fail.
const HISTORIES_OF_EARLIER_DESIGN: u64 = 20_000;

const NO_FAULTS: Faults = Faults { refusals: false, drills: false, peers: false };
const REFUSALS: Faults = Faults { refusals: true, ..NO_FAULTS };
const DRILLS: Faults = Faults { drills: true, ..NO_FAULTS };
const PEERS: Faults = Faults { peers: true, ..REFUSALS };
const ALL: Faults = Faults { refusals: true, drills: true, peers: true };

fn first_broken(design: Design, faults: Faults, seeds: std::ops::Range<u64>) -> Option<String> {
    seeds.into_iter().find_map(|seed| {
        let mut world = World::new(seed, design, faults);
        let broken = world.play().err()?;
        Some(format!("seed {seed}: {broken}\n{}\n{world:#?}", world.log.join("\n")))
    })
}

/// Checks that no history breaks a guarantee.
fn check_held(faults: Faults, first_seed: u64) {
    let broken = first_broken(Design::Present, faults, first_seed..first_seed + HISTORIES);
    assert!(broken.is_none(), "{}", broken.unwrap_or_default());
}

/// Checks that the histories find what an earlier design breaks.
fn check_broken(design: Design, faults: Faults) {
    let broken = first_broken(design, faults, 0..HISTORIES_OF_EARLIER_DESIGN);
    let broken = broken.expect("a broken guarantee");
    assert!(broken.contains("whose departure was confirmed"), "{broken}");
}

macro_rules! cases {
    ($check:ident: $($name:ident => ($($arg:expr),+);)+) => {
        $(#[test] fn $name() { $check($($arg),+) })+
    };
}

cases! { check_held:
    departures_hold_without_faults => (NO_FAULTS, 0);
    departures_hold_while_the_store_refuses => (REFUSALS, 1_000_000);
    departures_hold_in_drills => (DRILLS, 2_000_000);
    departures_hold_with_all_faults => (ALL, 3_000_000);
    departures_hold_with_all_faults_again => (ALL, 4_000_000);
}

// DRAIN: what review cases 9 and 10 showed, and what their first fix left open.
cases! { check_broken:
    a_refusing_store_makes_the_store_first_design_forget => (Design::StoreFirst, REFUSALS);
    a_drill_makes_the_store_first_design_forget => (Design::StoreFirst, DRILLS);
    a_restarted_keeper_is_never_replaced => (Design::KeepersNotReplaced, PEERS);
}

// DRAIN: a started node took a late report before the nodes that kept the departure knew the node.
cases! { check_broken:
    a_report_before_the_recall_brings_a_target_back => (Design::ReportsBeforeRecall, REFUSALS);
    a_report_before_the_recall_brings_a_target_back_in_a_drill => (Design::ReportsBeforeRecall, DRILLS);
}

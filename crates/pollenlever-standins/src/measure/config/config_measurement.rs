use std::time::{Duration, Instant};

use pollenlever_core::config::{RequestKind, ServiceConfig};

use crate::measure::fleet::{Fleet, FleetSpec, LinearFit};
use crate::measure::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::relay::{LinkState, Place};
use crate::store::Faults;

/// Sizes that are measured.
const SIZES: [usize; 5] = [8, 16, 32, 64, 128];
/// Sizes at which the calls of an idle fleet to the store are counted.
const COUNTED_SIZES: [usize; 2] = [8, 128];
/// Changes at each size.
const CHANGES: u32 = 3;
/// Nodes of the fleet whose regions are cut apart.
const CUT_SIZE: usize = 12;
/// Time for which the regions are cut apart.
const CUT_TIME: Duration = Duration::from_secs(10);
/// Delay of each call to a slow store.
const SLOW_STORE: Duration = Duration::from_secs(2);
/// Changes while the store is slow.
const SLOW_CHANGES: u32 = 2;
/// Wait before calls are counted: nodes that join look at the store more often.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time over which calls to the store are counted in an idle fleet.
const COUNT_TIME: Duration = Duration::from_secs(5);
/// Budget of the time from accepted to in force everywhere.
const MAX_TIME: Duration = Duration::from_secs(18);
/// Service that is changed.
const SERVICE: &str = "balance";

/// `scripts/measure config`.
#[derive(Debug)]
pub(crate) struct ConfigMeasurement;

impl Measurement for ConfigMeasurement {
    fn name(&self) -> &'static str {
        "config"
    }

    fn summary(&self) -> &'static str {
        "time from accepted to in force on the last node, against 18 s, and calls to the store"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let mut fleet = Fleet::new(FleetSpec { seed: options.seed, relayed: 0 })?;
        let mut calls = Vec::new();
        let mut slowest = Duration::ZERO;
        println!("nodes  in_force_ms(max of {CHANGES})  store_calls/s");
        for size in SIZES {
            fleet.grow_to(size)?;
            let time = slowest_change(&fleet)?;
            slowest = slowest.max(time);
            print!("{size:>5}  {:>20}", time.as_millis());
            if COUNTED_SIZES.contains(&size) {
                let rate = store_calls_per_s(&fleet);
                calls.push((size as f64, rate));
                print!("  {rate:>13.2}");
            }
            println!();
        }
        let slow = slow_store(&fleet)?;
        println!("store slowed by {SLOW_STORE:?} a call: in force after {} ms", slow.as_millis());
        drop(fleet);
        let cut = regions_cut(options)?;
        println!(
            "regions cut for {CUT_TIME:?}: in force after {} ms, {} ms after the cut",
            cut.as_millis(),
            cut.saturating_sub(CUT_TIME).as_millis(),
        );
        let fit = LinearFit::new(&calls);
        println!("fit store calls/s = {:.2} + {:.4} n", fit.base, fit.slope);
        let held = slowest.max(slow).max(cut) <= MAX_TIME;
        Ok(Verdict::new(held)
            .figure("in_force_ms", slowest.as_millis())
            .figure("slow_store_ms", slow.as_millis())
            .figure("cut_ms", cut.as_millis())
            .figure("store_calls_per_s_per_node", format!("{:.4}", fit.slope)))
    }
}

fn config(slots: u32) -> ServiceConfig {
    let kinds = vec![RequestKind::default()];
    ServiceConfig { service: SERVICE.into(), slots, kinds, ..ServiceConfig::default() }
}

/// Time from accepted to in force on the last node.
fn change(fleet: &Fleet, slots: u32, within: Duration) -> Result<Duration, MeasureError> {
    let version = fleet.submit(&config(slots))?;
    fleet.wait_until("the change is in force", within, |status| {
        status.configs.get(SERVICE) == Some(&version)
    })
}

fn slowest_change(fleet: &Fleet) -> Result<Duration, MeasureError> {
    let mut slowest = Duration::ZERO;
    for slots in 1..=CHANGES {
        slowest = slowest.max(change(fleet, slots, MAX_TIME)?);
    }
    Ok(slowest)
}

fn store_calls_per_s(fleet: &Fleet) -> f64 {
    std::thread::sleep(SETTLE_TIME);
    let before = fleet.store.counters().calls();
    std::thread::sleep(COUNT_TIME);
    (fleet.store.counters().calls() - before) as f64 / COUNT_TIME.as_secs_f64()
}

/// Slowest of several changes, so that some meet a watch that is just being renewed.
fn slow_store(fleet: &Fleet) -> Result<Duration, MeasureError> {
    let slow_ms = SLOW_STORE.as_millis() as u64;
    fleet.store.set_faults(Faults { slow_ms, ..Faults::default() });
    let mut slowest = Duration::ZERO;
    for slots in 1..=SLOW_CHANGES {
        slowest = slowest.max(change(fleet, 10 + slots, 2 * MAX_TIME)?);
    }
    fleet.store.set_faults(Faults::default());
    Ok(slowest)
}

/// Cuts the second region off the first and off the store, and submits a change meanwhile.
fn regions_cut(options: &MeasureOptions) -> Result<Duration, MeasureError> {
    let mut fleet = Fleet::new(FleetSpec { seed: options.seed, relayed: CUT_SIZE })?;
    fleet.grow_to(CUT_SIZE)?;
    change(&fleet, 1, MAX_TIME)?;
    set_region_links(&fleet, LinkState::Silent);
    let start = Instant::now();
    let version = fleet.submit(&config(2))?;
    std::thread::sleep(CUT_TIME.saturating_sub(start.elapsed()));
    set_region_links(&fleet, LinkState::Up);
    fleet.wait_until("the change is in force", 2 * MAX_TIME, |status| {
        status.configs.get(SERVICE) == Some(&version)
    })?;
    Ok(start.elapsed())
}

fn set_region_links(fleet: &Fleet, state: LinkState) {
    let Some(links) = fleet.links() else { return };
    let places = |region| (1..=3).map(move |zone| Place { region, zone });
    for a in places(1) {
        for b in places(2) {
            links.set(a, b, state);
        }
    }
}

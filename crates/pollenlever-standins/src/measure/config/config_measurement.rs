use std::time::{Duration, Instant};

use pollenlever_core::config::{RequestKind, ServiceConfig};

use crate::measure::fleet::{Fleet, FleetSpec, LinearFit};
use crate::measure::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::relay::{LinkState, Location};
use crate::store::Faults;

/// Numbers of nodes at which the rollout time is measured.
const SIZES: [usize; 5] = [8, 16, 32, 64, 128];
/// Numbers of nodes at which the calls of an idle fleet to the store are counted.
const STORE_CALL_SIZES: [usize; 2] = [8, 128];
/// Configuration changes at each size.
const CHANGES_PER_SIZE: u32 = 3;
/// Number of nodes of the fleet whose regions are disconnected.
const CUT_FLEET_SIZE: usize = 12;
/// Time for which the regions are disconnected.
const CUT_TIME: Duration = Duration::from_secs(10);
/// Delay that the slow store adds to each call.
const SLOW_STORE_DELAY: Duration = Duration::from_secs(2);
/// Configuration changes while the store is slow.
const SLOW_STORE_CHANGES: u32 = 2;
/// Wait before calls are counted, because nodes read from the store more often just after joining.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Time over which the calls of an idle fleet to the store are counted.
const COUNT_TIME: Duration = Duration::from_secs(5);
/// Limit on the time from accepting a change to its being in force on all nodes.
const MAX_ROLLOUT_TIME: Duration = Duration::from_secs(18);
/// Service whose configuration is changed.
const SERVICE: &str = "balance";

/// Measures rollout times of configuration changes, and the rate of calls to the store.
#[derive(Debug)]
pub(crate) struct ConfigMeasurement;

impl Measurement for ConfigMeasurement {
    fn name(&self) -> &'static str {
        "config"
    }

    fn summary(&self) -> &'static str {
        "time until an accepted configuration is in force on all nodes, <= 18 s; calls to the store"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let mut fleet = Fleet::new(FleetSpec { seed: options.seed, relayed_nodes: 0 })?;
        let mut calls_by_size = Vec::new();
        let mut slowest = Duration::ZERO;
        println!("nodes  in_force_ms(max of {CHANGES_PER_SIZE})  store_calls/s");
        for size in SIZES {
            fleet.grow_to(size)?;
            let time = slowest_rollout(&fleet)?;
            slowest = slowest.max(time);
            print!("{size:>5}  {:>20}", time.as_millis());
            if STORE_CALL_SIZES.contains(&size) {
                let rate = store_calls_per_s(&fleet);
                calls_by_size.push((size as f64, rate));
                print!("  {rate:>13.2}");
            }
            println!();
        }
        let slow = slowest_rollout_with_slow_store(&fleet)?;
        println!(
            "store slowed by {SLOW_STORE_DELAY:?} a call: in force after {} ms",
            slow.as_millis()
        );
        drop(fleet);
        let cut = rollout_time_with_region_cut(options)?;
        println!(
            "regions cut for {CUT_TIME:?}: in force after {} ms, {} ms after the cut",
            cut.as_millis(),
            cut.saturating_sub(CUT_TIME).as_millis(),
        );
        let fit = LinearFit::new(&calls_by_size);
        println!("fit store calls/s = {:.2} + {:.4} n", fit.intercept, fit.slope);
        let held = slowest.max(slow).max(cut) <= MAX_ROLLOUT_TIME;
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

/// Submits a change and returns the time from its acceptance until all nodes have it in force.
fn rollout_time(fleet: &Fleet, slots: u32, within: Duration) -> Result<Duration, MeasurementError> {
    let version = fleet.submit(&config(slots))?;
    fleet.wait_until("the changed configuration is in force", within, |status| {
        status.configs.get(SERVICE) == Some(&version)
    })
}

fn slowest_rollout(fleet: &Fleet) -> Result<Duration, MeasurementError> {
    let mut slowest = Duration::ZERO;
    for slots in 1..=CHANGES_PER_SIZE {
        slowest = slowest.max(rollout_time(fleet, slots, MAX_ROLLOUT_TIME)?);
    }
    Ok(slowest)
}

fn store_calls_per_s(fleet: &Fleet) -> f64 {
    std::thread::sleep(SETTLE_TIME);
    let before = fleet.store.counters().calls();
    std::thread::sleep(COUNT_TIME);
    (fleet.store.counters().calls() - before) as f64 / COUNT_TIME.as_secs_f64()
}

/// Slowest change with a slow store; several are made so that some coincide with the renewal of a
/// watch.
fn slowest_rollout_with_slow_store(fleet: &Fleet) -> Result<Duration, MeasurementError> {
    let slow_ms = SLOW_STORE_DELAY.as_millis() as u64;
    fleet.store.set_faults(Faults { slow_ms, ..Faults::default() });
    let mut slowest = Duration::ZERO;
    for slots in 1..=SLOW_STORE_CHANGES {
        slowest = slowest.max(rollout_time(fleet, 10 + slots, 2 * MAX_ROLLOUT_TIME)?);
    }
    fleet.store.set_faults(Faults::default());
    Ok(slowest)
}

/// Drops all traffic between the second region and the first, which contains the store, and submits
/// a change meanwhile. Returns the time from the cut until all nodes have the change in force.
fn rollout_time_with_region_cut(
    options: &MeasurementOptions,
) -> Result<Duration, MeasurementError> {
    let mut fleet = Fleet::new(FleetSpec { seed: options.seed, relayed_nodes: CUT_FLEET_SIZE })?;
    fleet.grow_to(CUT_FLEET_SIZE)?;
    rollout_time(&fleet, 1, MAX_ROLLOUT_TIME)?;
    set_region_links(&fleet, LinkState::Silent);
    let start = Instant::now();
    let version = fleet.submit(&config(2))?;
    std::thread::sleep(CUT_TIME.saturating_sub(start.elapsed()));
    set_region_links(&fleet, LinkState::Up);
    fleet.wait_until("the changed configuration is in force", 2 * MAX_ROLLOUT_TIME, |status| {
        status.configs.get(SERVICE) == Some(&version)
    })?;
    Ok(start.elapsed())
}

fn set_region_links(fleet: &Fleet, state: LinkState) {
    let Some(links) = fleet.links() else { return };
    let locations = |region| (1..=3).map(move |zone| Location { region, zone });
    for a in locations(1) {
        for b in locations(2) {
            links.set(a, b, state);
        }
    }
}

//! A confirmed departure is forgotten: the store comes back from an older copy while the node is started again.

#[path = "../standins-2/common.rs"]
mod common;

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// `drain_s` and `stability_window_s` of the deployment.
const DRAIN: Duration = Duration::from_millis(2500);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the store is away in the drill.
const STORE_AWAY: Duration = Duration::from_millis(1500);
/// Time until a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn main() {
    begin(Path::new("review/10"));
    let store = Store::default();
    store.write("config", "main", &config(3, &[("saldo", "idempotent", 4.0)]));
    let how = Service::new(ms(20), 400);
    let machines: Vec<Arc<Machine>> = (1..=4)
        .map(|it| Arc::new(Machine::start(it, "mi-bicocca", "saldo", store.open_access(), how)))
        .collect();
    machines.iter().for_each(spawn_heartbeats);
    for machine in &machines {
        wait_until("ready", ms(10_000), || machine.is_ready());
    }
    let leaving = &machines[0];
    wait_until("served by the backend that will leave", ms(10_000), || {
        call(leaving.callers, "GET", "/saldo/2f", "warm-up", 4000);
        !leaving.backend.runs.lock().unwrap().is_empty()
    });
    thread::sleep(ms(2000));

    // The last heartbeat before the departure is on its way for some seconds.
    leaving.is_heartbeat_on.store(false, Ordering::Relaxed);
    let late_heartbeat = leaving.backend.heartbeat("mi-bicocca", "ready");
    let copy = store.copy();
    note("the copy is made to which the drill goes back");
    thread::sleep(ms(1000));
    let status = tell(leaving.control, &leaving.backend.deregistration());
    let confirmed = Instant::now();
    note(&format!("the backend of {} leaves: confirmed with {status}", leaving.name));
    if status != 200 {
        finish(NOT_RUN);
    }
    note(&format!("departures in the store: {:?}", store.names("pollenlever-departures")));
    thread::sleep(ms(300));
    if has_trouble() {
        machines.iter().for_each(|it| it.store.refuses.store(true, Ordering::Relaxed));
        note("the drill begins: the store is away");
        let away_since = Instant::now();
        thread::sleep(ms(200));
        leaving.kill();
        note(&format!("{} is killed", leaving.name));
        thread::sleep(RESTART_DELAY);
        leaving.restart();
        thread::sleep(STORE_AWAY.saturating_sub(away_since.elapsed()));
        store.restore(copy);
        machines.iter().for_each(|it| it.store.refuses.store(false, Ordering::Relaxed));
        note("the store is back, from the copy");
        note(&format!("departures in the store: {:?}", store.names("pollenlever-departures")));
    }
    let stable_at = Instant::now() + STABILITY_WINDOW + ms(100);
    for machine in &machines {
        wait_until("ready again", ms(10_000), || machine.is_ready());
    }
    thread::sleep(stable_at.saturating_duration_since(Instant::now()));
    let status = tell(leaving.control, &late_heartbeat);
    note(&format!("the late heartbeat arrives and is answered {status}"));
    thread::sleep(ms(300));
    let sent = Instant::now();
    let mut round = 0;
    while sent.elapsed() < ms(4000) {
        let taker = &machines[round % machines.len()];
        let id = format!("r{round}");
        let status = call(taker.callers, "GET", "/saldo/2f", &id, 4000);
        note(&format!("request {id} sent to {}: {status}", taker.name));
        round += 1;
        thread::sleep(ms(10));
    }
    let runs = leaving.backend.runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs.iter().filter(|it| it.at > confirmed + DRAIN).collect();
    for run in &late {
        let after = run.at.duration_since(confirmed).as_secs_f64();
        note(&format!(
            "{} runs at the backend that has left, {after:.3} s after the confirmation",
            run.id
        ));
    }
    leaving.note_log(&["target-", "store-lost", "departure-", "own-object"]);
    note(&format!("requests that reached it later than drain_s: {}", late.len()));
    finish(if late.is_empty() { HELD } else { BROKEN });
}

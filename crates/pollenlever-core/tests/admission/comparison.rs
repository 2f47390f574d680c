//! Compares admission algorithms on a chain of four gates; `--nocapture` prints the figures.

use pollenlever_core::admission::{
    AdmissionSettings, BoxAdmission, FifoAdmission, LimitKind, OrderKind, PriorityAdmission,
};
use pollenlever_core::config::Importance;

use super::chain::{Chain, Report, Stage};
use super::{cases, ms};

/// Chains per second that the last gate can run: 5 slots, 50 ms per run.
const CAPACITY: f64 = 100.0;
const SECS: u64 = 20;

fn run(load: f64, gate: impl Fn() -> BoxAdmission) -> Report {
    let stage = |slots, work| Stage { gate: gate(), slots, work: ms(work) };
    let stages = vec![stage(36, 20), stage(36, 20), stage(36, 20), stage(5, 50)];
    Chain::new(stages).run(1, CAPACITY * load, SECS)
}

fn priority(settings: AdmissionSettings) -> impl Fn() -> BoxAdmission {
    move || Box::new(PriorityAdmission::new(settings.clone()))
}

fn print(name: &str, load: f64, report: &Report) {
    let goodput_ratio = f64::from(report.goodput()) / (CAPACITY * SECS as f64);
    let critical = Importance::Critical;
    let critical_ratio = f64::from(report.good.get(&critical).copied().unwrap_or_default())
        / f64::from(report.offered[&critical]);
    let wasted = report.wasted_ratio();
    println!(
        "{name} load={load}: goodput={goodput_ratio:.3} critical={critical_ratio:.3} wasted={wasted:.3}"
    );
}

fn compare(name: &str, settings: AdmissionSettings) {
    for load in [0.8, 1.0, 2.0, 4.0] {
        print(name, load, &run(load, priority(settings.clone())));
    }
}

cases! {
    compare:
    compare_default("concurrency-hash", AdmissionSettings::default());
    compare_gradient("gradient-hash",
        AdmissionSettings { limit: LimitKind::Gradient, ..AdmissionSettings::default() });
    compare_fifo("concurrency-fifo",
        AdmissionSettings { order: OrderKind::Fifo, ..AdmissionSettings::default() });
    compare_lifo("concurrency-lifo",
        AdmissionSettings { order: OrderKind::Lifo, ..AdmissionSettings::default() });
}

#[test]
fn compare_unlimited_fifo() {
    for load in [0.8, 1.0, 2.0, 4.0] {
        print("unlimited-fifo", load, &run(load, || Box::new(FifoAdmission::default())));
    }
}

#[test]
fn overload_by_a_factor_of_two_keeps_goodput() {
    let report = run(2.0, priority(AdmissionSettings::default()));
    let critical = Importance::Critical;
    assert!(f64::from(report.goodput()) >= 0.9 * CAPACITY * SECS as f64, "{report:?}");
    assert!(report.good[&critical] * 100 >= report.offered[&critical] * 99, "{report:?}");
    assert!(report.wasted_ratio() <= 0.03, "{report:?}");
    assert_eq!(report, run(2.0, priority(AdmissionSettings::default())));
}

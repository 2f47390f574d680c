use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::format_recovery;
use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase, WorkReport};
use crate::target::Faults;

/// Load before and after the fault, as a multiple of the capacity.
const BASE_LOAD_FACTOR: f64 = 0.5;
/// Length of the phase before the fault, in seconds.
const BEFORE_SECS: f64 = 4.0;
/// Length of the phase in which the deepest service is slow and the load is doubled, in seconds.
const FAULT_SECS: f64 = 6.0;
/// Length of the phase after the fault, in seconds.
const AFTER_SECS: f64 = 8.0;
/// Factor by which the service time of the deepest service grows.
const SLOW_FACTOR: f64 = 5.0;
/// Warm-up time at the start; requests that arrive in it are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Longest recovery time that meets the objective.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

/// The deepest service slows down while the load doubles; then both return to normal.
pub(super) struct SlowService;

struct Figures {
    /// Good requests a second from the fault to the end.
    goodput: f64,
    recovery: Option<Duration>,
    /// Runs at the deepest service for each request that reached it.
    runs_per_deepest_request: f64,
}

impl Measurement for SlowService {
    fn name(&self) -> &'static str {
        "slow-service"
    }

    fn summary(&self) -> &'static str {
        "deepest service 5x slower, load doubled: recovery within 2 s, deepest load <= 1.1x"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let held = ours.recovery.is_some_and(|it| it <= MAX_RECOVERY)
            && ours.runs_per_deepest_request <= 1.1;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.1}", ours.goodput))
            .figure("naive", format!("{:.1}", naive.goodput))
            .figure("deepest_factor", format!("{:.3}", ours.runs_per_deepest_request))
            .figure("naive_deepest_factor", format!("{:.3}", naive.runs_per_deepest_request))
            .figure("recovery_s", format_recovery(ours.recovery))
            .figure("naive_recovery_s", format_recovery(naive.recovery)))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    let rate = BASE_LOAD_FACTOR * trial.capacity;
    let phases = vec![
        Phase::new(rate, BEFORE_SECS),
        Phase::new(2.0 * rate, FAULT_SECS),
        Phase::new(rate, AFTER_SECS),
    ];
    let spec = trial.load_spec(phases);
    let slow_at = spec.phases[0].duration;
    let restored_at = slow_at + spec.phases[1].duration;
    let (end, depth) = (spec.duration(), spec.depth);
    let run = trial.send(spec)?;
    run.sleep_until(slow_at);
    set_slow_factor(&trial, SLOW_FACTOR)?;
    run.sleep_until(restored_at);
    set_slow_factor(&trial, 1.0)?;
    let report = run.finish()?;
    let work = WorkReport::read(&trial.cluster, &report, depth)?;
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    println!("{policy:?}: answers {:?}", report.answers_by_reason(slow_at, end));
    Ok(Figures {
        goodput: report.goodput(slow_at, end),
        recovery: report.recovery_time(restored_at, end, report.good_share(WARM_UP, slow_at)),
        runs_per_deepest_request: work.runs_per_deepest_request(),
    })
}

/// Multiplies the service time of the deepest service's targets by `slow_factor`.
fn set_slow_factor(trial: &LoadTrial, slow_factor: f64) -> Result<(), MeasurementError> {
    let faults = Faults { slow_factor, ..Faults::default() };
    let deepest = trial.cluster.configs().last().map(|it| it.service.to_string());
    let machines = trial.cluster.machines.iter();
    for machine in machines.filter(|it| Some(&it.service) == deepest.as_ref()) {
        trial.cluster.set_faults(machine, &faults)?;
    }
    Ok(())
}

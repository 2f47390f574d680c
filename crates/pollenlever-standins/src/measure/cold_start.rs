use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::format_recovery;
use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadRun, LoadTrial, Phase};

/// Load, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 0.8;
/// Length of the phase before the first replacement, in seconds.
const BEFORE_SECS: f64 = 5.0;
/// Length of the phase that begins with the first replacement, in seconds.
const REPLACEMENT_SECS: f64 = 14.0;
/// Time in which the targets warm up after the start; requests that arrive in it are not counted.
const WARM_UP: Duration = Duration::from_secs(3);
/// Time that a new target takes to warm up.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Factor by which the service time of a target is longer right after its start.
const COLD_FACTOR: f64 = 3.0;
/// Number of targets of each service that are replaced, one after the other.
const REPLACED_PER_SERVICE: usize = 3;
/// Time between two replacements.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait for the exit of the replaced targets.
const EXIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Smallest share of good requests during the replacements, relative to that before.
const MIN_RELATIVE_GOODPUT: f64 = 0.95;

/// Half of the targets are replaced by new ones that are still slow (a cold start).
pub(super) struct ColdStart;

struct Figures {
    /// Share of good requests before the first replacement.
    before: f64,
    /// Share of good requests from the first replacement on.
    during: f64,
    recovery: Option<Duration>,
}

impl Measurement for ColdStart {
    fn name(&self) -> &'static str {
        "cold-start"
    }

    fn summary(&self) -> &'static str {
        "half of the targets replaced by cold ones at 0.8x load: goodput >= 95% of that before"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        Ok(Verdict::new(ours.during >= MIN_RELATIVE_GOODPUT * ours.before)
            .figure("goodput", format!("{:.4}", ours.during))
            .figure("naive", format!("{:.4}", naive.during))
            .figure("before", format!("{:.4}", ours.before))
            .figure("recovery_s", format_recovery(ours.recovery))
            .figure("naive_recovery_s", format_recovery(naive.recovery)))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let mut trial = LoadTrial::start(options, policy, |spec| {
        for service in &mut spec.services {
            service.cold_time = COLD_TIME;
            service.cold_factor = COLD_FACTOR;
            service.config.ramp_up = COLD_TIME;
        }
    })?;
    let rate = LOAD_FACTOR * trial.capacity;
    let spec =
        trial.load_spec(vec![Phase::new(rate, BEFORE_SECS), Phase::new(rate, REPLACEMENT_SECS)]);
    let (from, end) = (spec.phases[0].duration, spec.duration());
    let run = trial.send(spec)?;
    for round in 0..REPLACED_PER_SERVICE {
        run.sleep_until(from + REPLACEMENT_INTERVAL * round as u32);
        replace(&mut trial, &run, round)?;
    }
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    println!("{policy:?}: answers {:?}", report.answers_by_reason(from, end));
    let before = report.good_share(WARM_UP, from);
    let last_replacement_at = from + REPLACEMENT_INTERVAL * (REPLACED_PER_SERVICE as u32 - 1);
    Ok(Figures {
        before,
        during: report.good_share(from, end),
        recovery: report.recovery_time(last_replacement_at, end, before),
    })
}

/// Replaces one target of each service: sends it SIGTERM, and starts a cold one when it has exited
/// or the wait has timed out.
fn replace(trial: &mut LoadTrial, run: &LoadRun, round: usize) -> Result<(), MeasurementError> {
    let targets = trial.cluster.machines.len() / trial.cluster.configs().len();
    let is_replaced = |index: &usize| index % targets == round;
    for index in (0..trial.cluster.machines.len()).filter(is_replaced) {
        trial.cluster.machines[index].target_process.send_sigterm()?;
    }
    let deadline = run.elapsed() + EXIT_TIMEOUT;
    for index in (0..trial.cluster.machines.len()).filter(is_replaced) {
        let machine = &mut trial.cluster.machines[index];
        while machine.target_process.is_running() && run.elapsed() < deadline {
            std::thread::sleep(Duration::from_millis(20));
        }
        machine.restart_target()?;
    }
    Ok(())
}

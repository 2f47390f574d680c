use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::recovery_text;
use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{LoadRun, Phase, Trial};

/// Load, as a share of the capacity.
const LOAD: f64 = 0.8;
/// Seconds before the first replacement.
const CALM_SECS: f64 = 5.0;
/// Seconds from the first replacement.
const REPLACE_SECS: f64 = 14.0;
/// Time in which the targets warm up after the start, not counted.
const SETTLE: Duration = Duration::from_secs(3);
/// Time over which a new target warms up.
const COLD_TIME: Duration = Duration::from_secs(2);
/// Factor on the service time of a wholly cold target.
const COLD_FACTOR: f64 = 3.0;
/// Targets of each service that are replaced, one after the other.
const REPLACED: usize = 3;
/// Time between two replacements.
const INTERVAL: Duration = Duration::from_secs(3);
/// Longest wait for the end of a target.
const END_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of the goodput before that holds the target.
const MIN_SHARE: f64 = 0.95;

/// Half of the targets are replaced by cold ones.
pub(super) struct ColdStart;

struct Figures {
    before: f64,
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

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        Ok(Verdict::new(ours.during >= MIN_SHARE * ours.before)
            .figure("goodput", format!("{:.4}", ours.during))
            .figure("naive", format!("{:.4}", naive.during))
            .figure("before", format!("{:.4}", ours.before))
            .figure("recovery_s", recovery_text(ours.recovery))
            .figure("naive_recovery_s", recovery_text(naive.recovery)))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName) -> Result<Figures, MeasureError> {
    let mut trial = Trial::start(options, policy, |spec| {
        for service in &mut spec.services {
            service.cold_time = COLD_TIME;
            service.cold_factor = COLD_FACTOR;
            service.config.ramp_up = COLD_TIME;
        }
    })?;
    let rate = LOAD * trial.capacity;
    let spec = trial.load(vec![Phase::new(rate, CALM_SECS), Phase::new(rate, REPLACE_SECS)]);
    let (from, end) = (spec.phases[0].length, spec.length());
    let run = trial.send(spec)?;
    for round in 0..REPLACED {
        run.sleep_until(from + INTERVAL * round as u32);
        replace(&mut trial, &run, round)?;
    }
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.series());
    println!("{policy:?}: answers {:?}", report.answers(from, end));
    let before = report.good_share(SETTLE, from);
    let last = from + INTERVAL * (REPLACED as u32 - 1);
    Ok(Figures {
        before,
        during: report.good_share(from, end),
        recovery: report.recovery(last, end, before),
    })
}

/// Replaces one target of each service: asks it to leave, and starts a cold one once it is gone.
fn replace(trial: &mut Trial, run: &LoadRun, round: usize) -> Result<(), MeasureError> {
    let targets = trial.cluster.machines.len() / trial.cluster.configs().len();
    let chosen = |index: &usize| index % targets == round;
    for index in (0..trial.cluster.machines.len()).filter(chosen) {
        trial.cluster.machines[index].target_program.terminate()?;
    }
    let deadline = run.elapsed() + END_TIMEOUT;
    for index in (0..trial.cluster.machines.len()).filter(chosen) {
        let machine = &mut trial.cluster.machines[index];
        while machine.target_program.is_running() && run.elapsed() < deadline {
            std::thread::sleep(Duration::from_millis(20));
        }
        machine.restart_target()?;
    }
    Ok(())
}

use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::format_recovery;
use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};
use crate::relay::Location;

/// Load, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 0.6;
/// Length of the phase before the loss, in seconds.
const BEFORE_SECS: f64 = 4.0;
/// Length of the phase without the zone, in seconds.
const LOST_SECS: f64 = 6.0;
/// Length of the phase after the restart of the zone, in seconds.
const AFTER_SECS: f64 = 8.0;
/// Warm-up time at the start; requests that arrive in it are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Longest recovery time that meets the objective.
const MAX_RECOVERY: Duration = Duration::from_secs(2);
/// Zone whose processes are killed.
const LOST_ZONE: Location = Location { region: 2, zone: 1 };

/// All processes of an availability zone are killed and later restarted.
pub(super) struct ZoneLoss;

struct Figures {
    goodput: f64,
    recovery_after_loss: Option<Duration>,
    recovery_after_return: Option<Duration>,
}

impl Measurement for ZoneLoss {
    fn name(&self) -> &'static str {
        "zone-loss"
    }

    fn summary(&self) -> &'static str {
        "a zone is killed at 0.6x load and restarted: back within 2 s of each, no lasting overload"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let is_within_limit = |it: Option<Duration>| it.is_some_and(|it| it <= MAX_RECOVERY);
        let held = is_within_limit(ours.recovery_after_loss)
            && is_within_limit(ours.recovery_after_return);
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.4}", ours.goodput))
            .figure("naive", format!("{:.4}", naive.goodput))
            .figure("after_loss_s", format_recovery(ours.recovery_after_loss))
            .figure("naive_after_loss_s", format_recovery(naive.recovery_after_loss))
            .figure("recovery_s", format_recovery(ours.recovery_after_return))
            .figure("naive_recovery_s", format_recovery(naive.recovery_after_return)))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let mut trial = LoadTrial::start(options, policy, |_| {})?;
    let rate = LOAD_FACTOR * trial.capacity;
    let spec = trial.load_spec(vec![
        Phase::new(rate, BEFORE_SECS),
        Phase::new(rate, LOST_SECS),
        Phase::new(rate, AFTER_SECS),
    ]);
    let lost_at = spec.phases[0].duration;
    let restored_at = lost_at + spec.phases[1].duration;
    let end = spec.duration();
    let run = trial.send(spec)?;
    run.sleep_until(lost_at);
    for machine in trial.cluster.machines.iter_mut().filter(|it| it.location == LOST_ZONE) {
        machine.node_process.kill()?;
        machine.target_process.kill()?;
    }
    run.sleep_until(restored_at);
    for machine in trial.cluster.machines.iter_mut().filter(|it| it.location == LOST_ZONE) {
        machine.restart_node()?;
        machine.restart_target()?;
    }
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    println!("{policy:?}: answers {:?}", report.answers_by_reason(lost_at, end));
    let before = report.good_share(WARM_UP, lost_at);
    Ok(Figures {
        goodput: report.good_share(lost_at, end),
        recovery_after_loss: report.recovery_time(lost_at, restored_at, before),
        recovery_after_return: report.recovery_time(restored_at, end, before),
    })
}

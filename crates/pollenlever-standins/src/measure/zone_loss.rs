use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::recovery_text;
use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial};
use crate::relay::Place;

/// Load, as a share of the capacity.
const LOAD: f64 = 0.6;
/// Seconds before the loss.
const CALM_SECS: f64 = 4.0;
/// Seconds without the zone.
const LOST_SECS: f64 = 6.0;
/// Seconds after the return.
const BACK_SECS: f64 = 8.0;
/// Time after the start that is not counted.
const SETTLE: Duration = Duration::from_secs(1);
/// Longest recovery that holds the target.
const MAX_RECOVERY: Duration = Duration::from_secs(2);
/// The zone that dies.
const ZONE: Place = Place { region: 2, zone: 1 };

/// An availability zone dies, then returns.
pub(super) struct ZoneLoss;

struct Figures {
    goodput: f64,
    after_loss: Option<Duration>,
    after_return: Option<Duration>,
}

impl Measurement for ZoneLoss {
    fn name(&self) -> &'static str {
        "zone-loss"
    }

    fn summary(&self) -> &'static str {
        "a zone dies at 0.6x load and returns: back within 2 s of each, no lasting overload"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let is_quick = |it: Option<Duration>| it.is_some_and(|it| it <= MAX_RECOVERY);
        let held = is_quick(ours.after_loss) && is_quick(ours.after_return);
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.4}", ours.goodput))
            .figure("naive", format!("{:.4}", naive.goodput))
            .figure("after_loss_s", recovery_text(ours.after_loss))
            .figure("naive_after_loss_s", recovery_text(naive.after_loss))
            .figure("recovery_s", recovery_text(ours.after_return))
            .figure("naive_recovery_s", recovery_text(naive.after_return)))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName) -> Result<Figures, MeasureError> {
    let mut trial = Trial::start(options, policy, |_| {})?;
    let rate = LOAD * trial.capacity;
    let spec = trial.load(vec![
        Phase::new(rate, CALM_SECS),
        Phase::new(rate, LOST_SECS),
        Phase::new(rate, BACK_SECS),
    ]);
    let lost = spec.phases[0].length;
    let back = lost + spec.phases[1].length;
    let end = spec.length();
    let run = trial.send(spec)?;
    run.sleep_until(lost);
    for machine in trial.cluster.machines.iter_mut().filter(|it| it.place == ZONE) {
        machine.node.kill()?;
        machine.target_program.kill()?;
    }
    run.sleep_until(back);
    for machine in trial.cluster.machines.iter_mut().filter(|it| it.place == ZONE) {
        machine.restart_node()?;
        machine.restart_target()?;
    }
    let report = run.finish()?;
    println!("{policy:?}: good by second {:?}", report.series());
    println!("{policy:?}: answers {:?}", report.answers(lost, end));
    let before = report.good_share(SETTLE, lost);
    Ok(Figures {
        goodput: report.good_share(lost, end),
        after_loss: report.recovery(lost, back, before),
        after_return: report.recovery(back, end, before),
    })
}

use std::time::Duration;

use pollenlever::settings::PolicyName;

use super::figures::recovery_text;
use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial, WorkReport};
use crate::target::Faults;

/// Load before the fault, as a share of the capacity.
const BASE_LOAD: f64 = 0.5;
/// Seconds before the fault.
const CALM_SECS: f64 = 4.0;
/// Seconds for which the deepest service is slow and demand is doubled.
const FAULT_SECS: f64 = 6.0;
/// Seconds after healing.
const HEALED_SECS: f64 = 8.0;
/// Factor on the service time of the deepest service.
const SLOW_FACTOR: f64 = 5.0;
/// Time after the start that is not counted.
const SETTLE: Duration = Duration::from_secs(1);
/// Longest recovery that holds the target.
const MAX_RECOVERY: Duration = Duration::from_secs(2);

/// The deepest service slows while demand doubles, then both heal.
pub(super) struct SlowService;

struct Figures {
    goodput: f64,
    recovery: Option<Duration>,
    deepest_factor: f64,
}

impl Measurement for SlowService {
    fn name(&self) -> &'static str {
        "slow-service"
    }

    fn summary(&self) -> &'static str {
        "deepest service 5x slower, demand doubled: back within 2 s, deepest load <= 1.1x"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        let held = ours.recovery.is_some_and(|it| it <= MAX_RECOVERY) && ours.deepest_factor <= 1.1;
        Ok(Verdict::new(held)
            .figure("goodput", format!("{:.1}", ours.goodput))
            .figure("naive", format!("{:.1}", naive.goodput))
            .figure("deepest_factor", format!("{:.3}", ours.deepest_factor))
            .figure("naive_deepest_factor", format!("{:.3}", naive.deepest_factor))
            .figure("recovery_s", recovery_text(ours.recovery))
            .figure("naive_recovery_s", recovery_text(naive.recovery)))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName) -> Result<Figures, MeasureError> {
    let trial = Trial::start(options, policy, |_| {})?;
    let rate = BASE_LOAD * trial.capacity;
    let phases = vec![
        Phase::new(rate, CALM_SECS),
        Phase::new(2.0 * rate, FAULT_SECS),
        Phase::new(rate, HEALED_SECS),
    ];
    let spec = trial.load(phases);
    let slow_from = spec.phases[0].length;
    let healed = slow_from + spec.phases[1].length;
    let (end, depth) = (spec.length(), spec.depth);
    let run = trial.send(spec)?;
    run.sleep_until(slow_from);
    set_slow(&trial, SLOW_FACTOR)?;
    run.sleep_until(healed);
    set_slow(&trial, 1.0)?;
    let report = run.finish()?;
    let work = WorkReport::read(&trial.cluster, &report, depth)?;
    println!("{policy:?}: good by second {:?}", report.series());
    println!("{policy:?}: answers {:?}", report.answers(slow_from, end));
    Ok(Figures {
        goodput: report.goodput(slow_from, end),
        recovery: report.recovery(healed, end, report.good_share(SETTLE, slow_from)),
        deepest_factor: work.deepest_factor(),
    })
}

/// Sets the slowness of the deepest service's targets.
fn set_slow(trial: &Trial, slow_factor: f64) -> Result<(), MeasureError> {
    let faults = Faults { slow_factor, ..Faults::default() };
    let deepest = trial.cluster.configs().last().map(|it| it.service.to_string());
    let machines = trial.cluster.machines.iter();
    for machine in machines.filter(|it| Some(&it.service) == deepest.as_ref()) {
        trial.cluster.set_faults(machine, &faults)?;
    }
    Ok(())
}

use pollenlever::settings::PolicyName;

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};

/// Load of all workspaces together, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 2.0;
/// Load of the heavy workspace, as a multiple of the load of each other workspace.
const HEAVY_WEIGHT: f64 = 10.0;
/// Length of the load that is counted, in seconds.
const COUNTED_SECS: f64 = 12.0;
/// Length of the warm-up at the start, in seconds; requests that arrive in it are not counted.
const WARM_UP_SECS: f64 = 2.0;
/// Smallest share of good requests of each light workspace that meets the objective.
const MIN_GOOD_SHARE: f64 = 0.95;

/// One workspace sends ten times as much as each of the others, all at the same importance.
pub(super) struct Fairness;

struct Figures {
    goodput: f64,
    /// Smallest share of good requests of a light workspace.
    light: f64,
    /// Share of good requests of the heavy workspace.
    heavy: f64,
}

impl Measurement for Fairness {
    fn name(&self) -> &'static str {
        "fairness"
    }

    fn summary(&self) -> &'static str {
        "one workspace sends 10x at 2x capacity: >= 95% of each other's requests good"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        Ok(Verdict::new(ours.light >= MIN_GOOD_SHARE)
            .figure("goodput", format!("{:.1}", ours.goodput))
            .figure("naive", format!("{:.1}", naive.goodput))
            .figure("light", format!("{:.4}", ours.light))
            .figure("heavy", format!("{:.4}", ours.heavy))
            .figure("naive_light", format!("{:.4}", naive.light))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let trial = LoadTrial::start(options, policy, |_| {})?;
    let rate = LOAD_FACTOR * trial.capacity;
    let mut spec =
        trial.load_spec(vec![Phase::new(rate, WARM_UP_SECS), Phase::new(rate, COUNTED_SECS)]);
    spec.importance_weights = [0.0, 1.0, 0.0, 0.0];
    spec.workspaces[0].weight = HEAVY_WEIGHT;
    let names: Vec<String> = spec.workspaces.iter().map(|it| it.name.clone()).collect();
    let (warm_up_end, end) = (spec.phases[0].duration, spec.duration());
    let report = trial.run(spec)?;
    let share = |name: &String| {
        let records =
            report.arrived_between(warm_up_end, end).filter(|it| it.arrival.workspace == *name);
        let (all, good) =
            records.fold((0, 0), |it, record| (it.0 + 1, it.1 + u32::from(record.good)));
        f64::from(good) / f64::from(all.max(1))
    };
    println!("{policy:?}: good by workspace {:?}", report.good_by_workspace(warm_up_end, end));
    println!("{policy:?}: answers {:?}", report.answers_by_reason(warm_up_end, end));
    Ok(Figures {
        goodput: report.goodput(warm_up_end, end),
        light: names[1..].iter().map(share).fold(1.0, f64::min),
        heavy: share(&names[0]),
    })
}

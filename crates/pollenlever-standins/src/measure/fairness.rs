use pollenlever::settings::PolicyName;

use super::{MeasureError, MeasureOptions, Measurement, Verdict};
use crate::load::{Phase, Trial};

/// Load of all customers, as a share of the capacity.
const LOAD: f64 = 2.0;
/// Weight of the heavy customer against each of the others.
const HEAVY_WEIGHT: f64 = 10.0;
/// Seconds of load.
const SECS: f64 = 12.0;
/// Seconds after the start that are not counted.
const SETTLE_SECS: f64 = 2.0;
/// Share of the light customers' requests that must be good.
const MIN_SHARE: f64 = 0.95;

/// One customer sends ten times as much as each of the others, at one importance.
pub(super) struct Fairness;

struct Figures {
    goodput: f64,
    light: f64,
    heavy: f64,
}

impl Measurement for Fairness {
    fn name(&self) -> &'static str {
        "fairness"
    }

    fn summary(&self) -> &'static str {
        "one customer sends 10x at 2x capacity: >= 95% of each other's requests good"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        Ok(Verdict::new(ours.light >= MIN_SHARE)
            .figure("goodput", format!("{:.1}", ours.goodput))
            .figure("naive", format!("{:.1}", naive.goodput))
            .figure("light", format!("{:.4}", ours.light))
            .figure("heavy", format!("{:.4}", ours.heavy))
            .figure("naive_light", format!("{:.4}", naive.light))
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(options: &MeasureOptions, policy: PolicyName) -> Result<Figures, MeasureError> {
    let trial = Trial::start(options, policy, |_| {})?;
    let rate = LOAD * trial.capacity;
    let mut spec = trial.load(vec![Phase::new(rate, SETTLE_SECS), Phase::new(rate, SECS)]);
    spec.mix = [0.0, 1.0, 0.0, 0.0];
    spec.customers[0].weight = HEAVY_WEIGHT;
    let names: Vec<String> = spec.customers.iter().map(|it| it.name.clone()).collect();
    let (settled, end) = (spec.phases[0].length, spec.length());
    let report = trial.run(spec)?;
    let share = |name: &String| {
        let records = report.between(settled, end).filter(|it| it.arrival.customer == *name);
        let (all, good) =
            records.fold((0, 0), |it, record| (it.0 + 1, it.1 + u32::from(record.good)));
        f64::from(good) / f64::from(all.max(1))
    };
    println!("{policy:?}: good by customer {:?}", report.good_by_customer(settled, end));
    println!("{policy:?}: answers {:?}", report.answers(settled, end));
    Ok(Figures {
        goodput: report.goodput(settled, end),
        light: names[1..].iter().map(share).fold(1.0, f64::min),
        heavy: share(&names[0]),
    })
}

use std::time::Duration;

use pollenlever_core::config::Importance;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::LoadSpec;

/// A planned request: when it arrives and for whom.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Number, unique within the load.
    pub id: u64,
    /// Time from the start of the load.
    pub at: Duration,
    /// Importance of the kind of request.
    pub importance: Importance,
    /// Workspace on whose behalf the request is made.
    pub workspace: String,
    /// Seed of the caller's random choices, such as the node for each attempt.
    pub seed: u64,
}

impl Arrival {
    /// Draws all arrivals of a load, in order of time: a Poisson process with each phase's rate.
    ///
    /// ```
    /// use pollenlever_standins::load::{Arrival, LoadSpec, Phase};
    /// let spec = LoadSpec { phases: vec![Phase::new(100.0, 2.0)], ..LoadSpec::default() };
    /// let arrivals = Arrival::all(&spec);
    /// assert!((150..250).contains(&arrivals.len()));
    /// assert_eq!(arrivals, Arrival::all(&spec));
    /// ```
    pub fn all(spec: &LoadSpec) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(spec.seed);
        let mut arrivals = Vec::new();
        let mut start = Duration::ZERO;
        for phase in &spec.phases {
            let end = start + phase.duration;
            let mut at = start + draw_interval(&mut rng, phase.requests_per_s);
            while at < end {
                arrivals.push(draw_arrival(spec, &mut rng, arrivals.len() as u64, at));
                at += draw_interval(&mut rng, phase.requests_per_s);
            }
            start = end;
        }
        arrivals
    }
}

/// Draws an exponentially distributed time between two arrivals.
fn draw_interval(rng: &mut StdRng, requests_per_s: f64) -> Duration {
    Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / requests_per_s)
}

fn draw_arrival(spec: &LoadSpec, rng: &mut StdRng, id: u64, at: Duration) -> Arrival {
    let importance = Importance::ALL[draw_index(rng, spec.importance_weights.iter().copied())];
    let workspace = draw_index(rng, spec.workspaces.iter().map(|it| it.weight));
    let workspace = spec.workspaces[workspace].name.clone();
    Arrival { id, at, importance, workspace, seed: rng.random() }
}

/// Draws an index with a probability proportional to its weight.
fn draw_index(rng: &mut StdRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut rest = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        rest -= weight;
        if rest < 0.0 {
            break;
        }
    }
    last
}

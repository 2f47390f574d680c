use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Times at which calls to one address are due: a Poisson process of `rate` calls a second.
pub(super) struct Arrivals {
    rng: SmallRng,
    rate: f64,
    at: Duration,
}

impl Arrivals {
    pub(super) fn new(rate: f64, seed: u64) -> Arrivals {
        Arrivals { rng: SmallRng::seed_from_u64(seed), rate, at: Duration::ZERO }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let share: f64 = self.rng.random();
        let gap = -(1.0 - share).ln() / self.rate;
        self.at += Duration::from_secs_f64(gap);
        Some(self.at)
    }
}

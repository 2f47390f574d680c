use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::target::Target;

pub(crate) const TARGETS: usize = 40;
/// Targets and owners are in two zones in turn.
pub(crate) const ZONES: usize = 2;
/// Slowest and fastest target, relative to one on which work takes its nominal time.
const SPEEDS: (f64, f64) = (0.55, 1.6);
/// Factor by which other work on a VM slows its target.
pub(crate) const NOISE_FACTOR: f64 = 2.5;
/// Time for which other work slows a target.
pub(crate) const NOISE: Duration = Duration::from_millis(600);
/// Share of the time in which a target is slowed.
const NOISE_SHARE: f64 = 0.15;

/// Time in microseconds since the start of a simulation.
pub(crate) type Micros = u64;

/// Simulated targets of one service, with the times at which other work on their VMs slows them.
pub(crate) struct Fleet {
    pub(crate) targets: Vec<Target>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, lasts: Duration) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let step = (SPEEDS.1 - SPEEDS.0) / (TARGETS - 1) as f64;
        let speed = |number: usize| SPEEDS.0 + step * number as f64;
        let target = |it| Target::new(speed(it), noise(&mut rng, lasts), lasts);
        Fleet { targets: (0..TARGETS).map(target).collect() }
    }

    /// Requests per second that the targets can run together.
    pub(crate) fn capacity(&self) -> f64 {
        let speed = self.targets.iter().map(|it| it.speed).sum::<f64>();
        let noise = 1.0 - NOISE_SHARE + NOISE_SHARE / NOISE_FACTOR;
        speed * noise * Target::SLOTS as f64 * 1000.0 / super::WORK_MS
    }
}

/// Start times of noise, of which there are as many as give [`NOISE_SHARE`].
fn noise(rng: &mut impl Rng, lasts: Duration) -> Vec<Duration> {
    let mean_gap = NOISE.mul_f64((1.0 - NOISE_SHARE) / NOISE_SHARE);
    let mut starts = Vec::new();
    let mut next = mean_gap.mul_f64(rng.random::<f64>());
    while next < lasts {
        starts.push(next);
        next += NOISE + mean_gap.mul_f64(-(1.0 - rng.random::<f64>()).ln());
    }
    starts
}

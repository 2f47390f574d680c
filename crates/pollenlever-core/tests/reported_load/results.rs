use std::hash::Hasher;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::run::WARM_UP;

/// What simulations showed after their warm-up.
#[derive(Default)]
pub(crate) struct Results {
    latencies: Vec<Duration>,
    /// Requests that were waiting at the chosen target, if it was undisturbed.
    waiting: Vec<u32>,
    choices: Vec<usize>,
    slowed: usize,
}

impl Results {
    pub(crate) fn record_choice(&mut self, target: usize, is_slowed: bool, waiting: u32) {
        self.choices.push(target);
        self.slowed += usize::from(is_slowed);
        if !is_slowed {
            self.waiting.push(waiting);
        }
    }

    pub(crate) fn record_reply(&mut self, sent: Duration, latency: Duration) {
        if sent >= WARM_UP {
            self.latencies.push(latency);
        }
    }

    pub(crate) fn sort(&mut self) {
        self.latencies.sort_unstable();
        self.waiting.sort_unstable();
    }

    /// Number of requests sent so far.
    pub(crate) fn sent(&self) -> usize {
        self.choices.len()
    }

    pub(crate) fn mean_ms(&self) -> f64 {
        let sum: Duration = self.latencies.iter().sum();
        sum.as_secs_f64() * 1000.0 / self.latencies.len() as f64
    }

    pub(crate) fn p99_ms(&self) -> f64 {
        self.latencies[self.latencies.len() * 99 / 100].as_secs_f64() * 1000.0
    }

    /// Percentage of the requests that took longer than `objective`.
    pub(crate) fn percent_beyond(&self, objective: Duration) -> f64 {
        let within = self.latencies.partition_point(|it| *it <= objective);
        100.0 - 100.0 * within as f64 / self.latencies.len() as f64
    }

    /// 99th percentile of the requests that waited at a chosen undisturbed target.
    pub(crate) fn waiting_p99(&self) -> u32 {
        self.waiting[self.waiting.len() * 99 / 100]
    }

    /// Percentage of the requests that were sent to a target while its VM was slowed.
    pub(crate) fn percent_slowed(&self) -> f64 {
        100.0 * self.slowed as f64 / self.choices.len() as f64
    }

    /// Digest of the sequence of choices.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.choices.iter().for_each(|it| hasher.write_u8(*it as u8));
        hasher.finish()
    }
}

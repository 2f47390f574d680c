use std::sync::Arc;
use std::time::{Duration, Instant};

use reqwest::Client;
use tokio::runtime::Handle;

use super::arrivals::Arrivals;
use super::samples::Samples;
use crate::measure::MeasurementError;

/// Wait for outstanding answers after the last call of a step.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Warm-up time at the start of a step; calls sent in it are not counted.
const WARM_UP: Duration = Duration::from_millis(500);

/// Calls at one rate, sent to nodes and directly to targets at the same time.
pub(super) struct Step {
    /// Calls a second to each address.
    pub(super) rate: f64,
    /// Time over which calls are sent.
    pub(super) duration: Duration,
    /// Seed of the arrivals.
    pub(super) seed: u64,
}

/// Latencies measured in a step.
pub(super) struct StepResult {
    pub(super) rate: f64,
    pub(super) via_node: Arc<Samples>,
    pub(super) direct: Arc<Samples>,
}

struct Call {
    at: Duration,
    url: Arc<str>,
    samples: Arc<Samples>,
}

impl Step {
    /// Calls each URL at the step's rate, and waits a fixed time for the last answers.
    pub(super) fn run(
        &self,
        runtime: &Handle,
        client: &Client,
        via_node: &[Arc<str>],
        direct: &[Arc<str>],
    ) -> Result<StepResult, MeasurementError> {
        let samples = [Arc::new(Samples::new()), Arc::new(Samples::new())];
        let mut calls = Vec::new();
        let sides = [(via_node, &samples[0]), (direct, &samples[1])];
        let urls =
            sides.iter().flat_map(|(urls, samples)| urls.iter().map(move |it| (it, samples)));
        for (number, (url, samples)) in urls.enumerate() {
            let arrivals = Arrivals::new(self.rate, self.seed.wrapping_add(number as u64));
            let times = arrivals.take_while(|it| *it < self.duration);
            calls.extend(times.map(|at| Call {
                at,
                url: Arc::clone(url),
                samples: Arc::clone(samples),
            }));
        }
        calls.sort_by_key(|it| it.at);
        self.send(runtime, client, calls);
        std::thread::sleep(ANSWER_WAIT);
        let [via_node, direct] = samples;
        Ok(StepResult { rate: self.rate, via_node, direct })
    }

    fn send(&self, runtime: &Handle, client: &Client, calls: Vec<Call>) {
        let start = Instant::now();
        for call in calls {
            let due = start + call.at;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let client = client.clone();
            let is_counted = call.at >= WARM_UP;
            let sent_at = Instant::now();
            runtime.spawn(async move {
                let answered = fetch(&client, &call.url).await;
                if is_counted {
                    call.samples.record(answered.then(|| sent_at.elapsed()));
                }
            });
        }
    }
}

impl StepResult {
    /// Latency through nodes minus latency of direct calls at the same quantile, in milliseconds.
    pub(super) fn added_ms(&self, quantile: f64) -> f64 {
        self.via_node.quantile_ms(quantile) - self.direct.quantile_ms(quantile)
    }
}

/// Returns whether a complete answer with a 2xx status came.
async fn fetch(client: &Client, url: &str) -> bool {
    let Ok(response) = client.get(url).send().await else { return false };
    let is_ok = response.status().is_success();
    response.bytes().await.is_ok() && is_ok
}

use std::sync::Arc;
use std::time::{Duration, Instant};

use reqwest::Client;
use tokio::runtime::Handle;

use super::arrivals::Arrivals;
use super::samples::Samples;
use crate::measure::MeasureError;

/// Time after a step's last call in which its answers still count.
const SETTLE: Duration = Duration::from_secs(1);
/// Time at the start of a step whose calls do not count.
const WARM_UP: Duration = Duration::from_millis(500);

/// Calls at one rate, to nodes and to targets side by side.
pub(super) struct Step {
    /// Calls a second to each address.
    pub(super) rate: f64,
    /// Length of the step.
    pub(super) length: Duration,
    /// Seed of the arrivals.
    pub(super) seed: u64,
}

/// What a step measured.
pub(super) struct StepResult {
    pub(super) rate: f64,
    pub(super) through: Arc<Samples>,
    pub(super) direct: Arc<Samples>,
}

struct Call {
    at: Duration,
    url: Arc<str>,
    samples: Arc<Samples>,
}

impl Step {
    /// Calls each URL at the step's rate and waits for the answers.
    pub(super) fn run(
        &self,
        runtime: &Handle,
        client: &Client,
        through: &[Arc<str>],
        direct: &[Arc<str>],
    ) -> Result<StepResult, MeasureError> {
        let samples = [Arc::new(Samples::new()), Arc::new(Samples::new())];
        let mut calls = Vec::new();
        let sides = [(through, &samples[0]), (direct, &samples[1])];
        let urls =
            sides.iter().flat_map(|(urls, samples)| urls.iter().map(move |it| (it, samples)));
        for (number, (url, samples)) in urls.enumerate() {
            let arrivals = Arrivals::new(self.rate, self.seed.wrapping_add(number as u64));
            let times = arrivals.take_while(|it| *it < self.length);
            calls.extend(times.map(|at| Call {
                at,
                url: Arc::clone(url),
                samples: Arc::clone(samples),
            }));
        }
        calls.sort_by_key(|it| it.at);
        self.send(runtime, client, calls);
        std::thread::sleep(SETTLE);
        let [through, direct] = samples;
        Ok(StepResult { rate: self.rate, through, direct })
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
                    call.samples.add(answered.then(|| sent_at.elapsed()));
                }
            });
        }
    }
}

impl StepResult {
    /// Difference of a quantile between the two sides, in milliseconds.
    pub(super) fn added_ms(&self, quantile: f64) -> f64 {
        self.through.quantile_ms(quantile) - self.direct.quantile_ms(quantile)
    }
}

async fn fetch(client: &Client, url: &str) -> bool {
    let Ok(response) = client.get(url).send().await else { return false };
    let is_ok = response.status().is_success();
    response.bytes().await.is_ok() && is_ok
}

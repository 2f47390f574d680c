use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use super::state::State;

/// Interval at which the load is sampled.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of load samples between two load reports.
const SAMPLES_PER_REPORT: u32 = 5;

/// Announces the target to its node and reports its load until the process ends; pauses while the
/// target is leaving and announces again after a failed notice.
pub(super) async fn run(state: Arc<State>) {
    let mut announced = false;
    loop {
        for _ in 0..SAMPLES_PER_REPORT {
            state.record_load();
            tokio::time::sleep(LOAD_SAMPLE_INTERVAL).await;
        }
        if state.leaving.load(Ordering::Relaxed) {
            continue;
        }
        announced = if announced { report_load(&state).await } else { announce(&state).await };
    }
}

/// Notifies the node that the target is leaving and accepts no new requests.
pub(super) async fn announce_leaving(state: &State) {
    post(state, "leave", json!({})).await;
}

/// Announces the service, slots and cold start state to the node; returns whether the node
/// accepted.
pub(super) async fn announce(state: &State) -> bool {
    let options = &state.options;
    let notice =
        json!({"service": options.service, "slots": options.slots, "cold": state.is_cold()});
    post(state, "announce", notice).await
}

async fn report_load(state: &State) -> bool {
    let load = state.reported_load();
    post(state, "load", json!({"in_flight": load, "healthy": true})).await
}

async fn post(state: &State, notice: &str, body: Value) -> bool {
    let url = format!("http://{}/pollenlever/v1/target/{notice}", state.options.node);
    let sent = state.client.post(url).json(&body).timeout(Duration::from_secs(2)).send().await;
    match sent {
        Ok(res) if res.status().is_success() => true,
        Ok(res) => {
            log::warn!("the node refused a notice notice={notice} status={}", res.status());
            false
        }
        Err(err) => {
            log::debug!("cannot send a notice to the node notice={notice} error={err}");
            false
        }
    }
}

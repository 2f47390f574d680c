use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};

use super::state::State;

/// Time between two steps of the load history.
const STEP: Duration = Duration::from_millis(100);
/// Steps between two load reports.
const STEPS_A_REPORT: u32 = 5;

/// Announces the target to its node and reports load until the process ends.
pub(super) async fn report(state: Arc<State>) {
    let mut announced = false;
    loop {
        for _ in 0..STEPS_A_REPORT {
            state.record_load();
            tokio::time::sleep(STEP).await;
        }
        if state.leaving.load(Ordering::Relaxed) {
            continue;
        }
        announced = if announced { report_load(&state).await } else { announce(&state).await };
    }
}

/// Tells the node that the target wants no new work.
pub(super) async fn announce_leaving(state: &State) {
    post(state, "leave", json!({})).await;
}

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
            log::warn!("notice={notice} status={}", res.status());
            false
        }
        Err(err) => {
            log::debug!("notice={notice} error={err}");
            false
        }
    }
}

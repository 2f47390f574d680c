use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use pollenlever::control::ControlStatus;
use pollenlever::store::{StoreClient, SubmitSettings, submit};
use pollenlever_core::config::{ConfigVersion, ServiceConfig};

/// Time between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(900);
/// Time between two polls of all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a request for a node's status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Versions of configurations that nodes had in force during a trial.
#[derive(Debug, Default)]
pub(super) struct ConfigHistory {
    /// Newest version observed in force, by node (its entry address) and service.
    newest_versions: BTreeMap<(SocketAddr, String), ConfigVersion>,
    /// Times that a node had an older version in force than it had before.
    pub(super) reverts: u64,
}

impl ConfigHistory {
    /// Polls the status of every node until `stop` is set. Nodes that do not answer are skipped.
    pub(super) fn poll(entries: &[SocketAddr], stop: &AtomicBool) -> ConfigHistory {
        let mut history = ConfigHistory::default();
        let client = reqwest::blocking::Client::builder().timeout(STATUS_TIMEOUT).build();
        let Ok(client) = client else { return history };
        while !stop.load(Ordering::Relaxed) {
            for &entry in entries {
                let url = format!("http://{entry}/pollenlever/v1/status");
                let status = client.get(url).send().and_then(|it| it.json::<ControlStatus>());
                if let Ok(status) = status {
                    history.record_status(entry, &status);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        history
    }

    fn record_status(&mut self, entry: SocketAddr, status: &ControlStatus) {
        for (service, &version) in &status.configs {
            let newest = self.newest_versions.entry((entry, service.clone())).or_default();
            if version < *newest {
                println!("revert of {service} on {entry} from {newest} to {version}");
                self.reverts += 1;
            }
            *newest = version.max(*newest);
        }
    }
}

/// Submits changes of one service until `stop` is set.
///
/// Returns the newest accepted version; `None` if no change was accepted.
pub(super) fn submit_changes(
    store: SocketAddr,
    cfg: &ServiceConfig,
    stop: &AtomicBool,
) -> Option<ConfigVersion> {
    let api = StoreClient::new(store).ok()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
    let settings = SubmitSettings::default();
    let mut accepted = None;
    for n in 0_u64.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let cfg = ServiceConfig { connections: 300 + (n % 2) as u32, ..cfg.clone() };
        let submission = format!("change-{n}");
        let result = runtime.block_on(submit(&api, &cfg, &submission, &settings));
        accepted = result.ok().map(|it| it.version).or(accepted);
        std::thread::sleep(SUBMIT_INTERVAL);
    }
    accepted
}

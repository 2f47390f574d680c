use std::time::Duration;

use pollenlever_core::config::Importance;

use super::{Phase, ResendPolicy};

/// A workspace (on whose behalf requests are made) and its share of the load.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceShare {
    /// Name of the workspace.
    pub name: String,
    /// Relative number of its requests.
    pub weight: f64,
}

/// Load that is sent in one trial.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSpec {
    /// Seed of arrivals and of the callers' random choices.
    pub seed: u64,
    /// Consecutive phases, each with its own arrival rate.
    pub phases: Vec<Phase>,
    /// Relative number of requests by importance, in the order of [`Importance::ALL`].
    pub importance_weights: [f64; Importance::ALL.len()],
    /// Workspaces among whom requests are divided by weight.
    pub workspaces: Vec<WorkspaceShare>,
    /// How callers resend failed requests.
    pub resend: ResendPolicy,
    /// Time from arrival within which a complete answer counts as good.
    pub deadline: Duration,
    /// One-way delay between callers and nodes.
    pub network_delay: Duration,
    /// Service that is called.
    pub service: String,
    /// Number of services in the call chain, each of which adds a line to a complete answer.
    pub depth: usize,
}

impl LoadSpec {
    /// Total duration of all phases.
    pub fn duration(&self) -> Duration {
        self.phases.iter().map(|it| it.duration).sum()
    }
}

impl Default for LoadSpec {
    fn default() -> LoadSpec {
        let workspace = |name: &str| WorkspaceShare { name: name.to_owned(), weight: 1.0 };
        LoadSpec {
            seed: 1,
            phases: Vec::new(),
            importance_weights: [0.2, 0.4, 0.25, 0.15],
            workspaces: ["bologna", "padova", "milano", "modena"].map(workspace).to_vec(),
            resend: ResendPolicy::default(),
            deadline: Duration::from_secs(2),
            network_delay: Duration::from_millis(8),
            service: "balance".to_owned(),
            depth: 4,
        }
    }
}

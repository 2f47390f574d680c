use pollenlever::settings::PolicyName;

/// Settings of one [`Trial`](super::Trial).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialSettings {
    /// Seed of the requests, the faults and the nodes' random number generators.
    pub seed: u64,
    /// Policy of the nodes.
    pub policy: PolicyName,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Number of faults, injected one after another.
    pub faults: usize,
}

impl Default for TrialSettings {
    fn default() -> TrialSettings {
        TrialSettings { seed: 1, policy: PolicyName::Pollenlever, callers: 16, faults: 11 }
    }
}

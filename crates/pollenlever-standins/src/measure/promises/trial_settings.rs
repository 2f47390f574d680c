use pollenlever::settings::PolicyName;

/// Settings of one [`PromisesTrial`](super::PromisesTrial).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromisesTrialSettings {
    /// Seed of the requests, the faults and the nodes' random number generators.
    pub seed: u64,
    /// Policy of the nodes.
    pub policy: PolicyName,
    /// Number of concurrent callers.
    pub caller_count: u64,
    /// Number of faults, injected one after another.
    pub fault_count: usize,
}

impl Default for PromisesTrialSettings {
    fn default() -> PromisesTrialSettings {
        PromisesTrialSettings {
            seed: 1,
            policy: PolicyName::Pollenlever,
            caller_count: 16,
            fault_count: 11,
        }
    }
}

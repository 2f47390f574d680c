use pollenlever::settings::PolicyName;

/// Settings of one trial of the promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrialSettings {
    /// Seed of requests, faults and the nodes' random choices.
    pub seed: u64,
    /// Policy of the nodes.
    pub policy: PolicyName,
    /// Callers that send at once.
    pub callers: u64,
    /// Faults, brought about one after another.
    pub faults: usize,
}

impl Default for TrialSettings {
    fn default() -> TrialSettings {
        TrialSettings { seed: 1, policy: PolicyName::Pollenlever, callers: 16, faults: 11 }
    }
}

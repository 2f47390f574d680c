use std::time::Duration;

/// Settings of membership.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Rings of a region in which a node has a successor.
    pub rings: u64,
    /// Members of a region that link to the other regions.
    pub bridges: usize,
    /// Time between heartbeats on one link.
    pub heartbeat_interval: Duration,
    /// Longest wait for the reply to a message.
    pub reply_timeout: Duration,
    /// Members that are asked to probe a peer that does not answer.
    pub indirect_probes: usize,
    /// Wait for the result of indirect probes.
    pub indirect_timeout: Duration,
    /// Time in which a suspect member may refute.
    pub suspicion_timeout: Duration,
    /// Time over which changes are collected before they are pushed.
    pub push_interval: Duration,
    /// Time between comparisons of digests.
    pub sync_interval: Duration,
    /// First wait between tries of a seed that is not known as a member; doubles with each try.
    pub seed_backoff: Duration,
    /// Longest wait between tries of a seed.
    pub max_seed_backoff: Duration,
    /// Changes in one message at most.
    pub max_changes: usize,
    /// Time for which members that are gone are remembered.
    pub gone_retention: Duration,
    /// A longer time between two events means that this node itself was paused.
    pub pause_threshold: Duration,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            rings: 3,
            bridges: 4,
            heartbeat_interval: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(1),
            indirect_probes: 2,
            indirect_timeout: Duration::from_millis(2200),
            suspicion_timeout: Duration::from_secs(3),
            push_interval: Duration::from_millis(50),
            sync_interval: Duration::from_secs(10),
            seed_backoff: Duration::from_millis(500),
            max_seed_backoff: Duration::from_secs(30),
            max_changes: 256,
            gone_retention: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

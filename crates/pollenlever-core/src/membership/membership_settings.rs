use std::time::Duration;

/// Settings of the gossip membership protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Number of rings in a region; a node links to its successor in each.
    pub rings: u64,
    /// Number of members of a region that link to the other regions.
    pub bridges: usize,
    /// Time between heartbeats on one link.
    pub heartbeat_interval: Duration,
    /// Timeout for the reply to a message.
    pub reply_timeout: Duration,
    /// Number of members that are asked to probe a peer that does not answer this node.
    pub indirect_probes: usize,
    /// Timeout for the result of indirect probes, after which the peer becomes suspect.
    pub indirect_timeout: Duration,
    /// Time within which a suspect member may refute the suspicion before it is gone.
    pub suspicion_timeout: Duration,
    /// Time for which changes are collected before they are pushed together.
    pub push_interval: Duration,
    /// Average time between comparisons of digests with a peer.
    pub sync_interval: Duration,
    /// First backoff between attempts to reach a seed that is not a known member; doubles with each
    /// attempt.
    pub seed_backoff: Duration,
    /// Maximum backoff between attempts to reach a seed.
    pub max_seed_backoff: Duration,
    /// Maximum number of changes in one message.
    pub max_changes: usize,
    /// Time for which members that are gone are kept as tombstones.
    pub gone_retention: Duration,
    /// Time between two ticks above which this node assumes that its own process was paused.
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

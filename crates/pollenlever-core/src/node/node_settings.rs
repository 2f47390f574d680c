use std::time::Duration;

/// Settings of a [`Node`](super::Node).
///
/// ```
/// use pollenlever_core::node::NodeSettings;
/// let cfg = NodeSettings { seed: 7, ..NodeSettings::default() };
/// assert_eq!(cfg.max_depth, 16);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Seed of all random choices and of the tags of request keys.
    pub seed: u64,
    /// Maximum depth of nested calls in a chain.
    pub max_depth: u8,
    /// Timeout for a retry grant from the origin, after which the retry counts as refused.
    pub grant_timeout: Duration,
    /// Delay before a gate is asked again to seal an attempt whose reply was lost.
    pub seal_retry_interval: Duration,
    /// Timeout for a gate's reply to a seal request.
    pub seal_timeout: Duration,
    /// Time past the deadline for which the reply to an attempt is awaited.
    pub reply_grace: Duration,
    /// Time after the deadline of a chain's first call for which its retries may still be granted.
    pub chain_window: Duration,
    /// Time after a failed call in which an equal call without key or chain counts as a resend.
    pub resend_window: Duration,
    /// Maximum number of failed calls remembered to detect resends, and of resend budgets (one per
    /// workspace and service).
    pub max_recent_failures: usize,
    /// Number of resends without key or chain that a workspace may make to one service at once.
    pub workspace_resend_burst: f64,
    /// Number of resends without key or chain that a workspace may make to one service per second.
    pub workspace_resends_per_s: f64,
    /// Number of retries to one service that its retry budget allows at once.
    pub retry_burst: f64,
    /// Number of retries per second that the retry budget of a service gains without first attempts.
    pub min_retries_per_s: f64,
    /// Maximum number of ended attempts whose state a gate keeps.
    pub max_ended_attempts: usize,
    /// Maximum bytes of answers that a gate keeps for homes that did not receive them.
    pub max_answer_bytes: usize,
    /// Maximum number of request keys issued at once.
    pub max_keys: u32,
    /// Time for which crashes count against a request.
    pub suspicion_ttl: Duration,
    /// Maximum number of requests whose crashes are counted.
    pub max_suspects: usize,
    /// Time after which a suspect is refused if its target is still not free to run it alone.
    pub suspect_wait: Duration,
    /// Maximum number of suspects that wait at a gate for an earlier suspect to end.
    pub max_parked_suspects: usize,
    /// Number of members to which crash reports are sent in each gossip round.
    pub suspicion_fanout: usize,
    /// Number of gossip rounds in which a node sends a crash report.
    pub suspicion_rounds: u32,
    /// Time for which crash reports are collected before the first gossip round.
    pub suspicion_delay: Duration,
    /// Time between gossip rounds.
    pub suspicion_interval: Duration,
    /// Minimum time for which a leaving node stays up, refusing calls without a key, so that all
    /// members learn that it leaves.
    pub leave_notice: Duration,
    /// Maximum number of nodes in a region that are asked to take over from a leaving home.
    pub max_successors: usize,
    /// Number of times that an entry asks all possible successors about a key whose home is gone.
    pub handover_rounds: u32,
    /// Delay between these rounds, in which a handover may complete.
    pub handover_retry_interval: Duration,
    /// Maximum number of gone members whose region is remembered.
    pub max_gone_regions: usize,
    /// Time for which a leaving gate still starts waiting attempts.
    pub queue_drain_timeout: Duration,
    /// Mean retry delay sent to refused callers when admission and routing give none.
    pub retry_after: Duration,
}

impl Default for NodeSettings {
    fn default() -> NodeSettings {
        NodeSettings {
            seed: 0,
            max_depth: 16,
            grant_timeout: Duration::from_millis(250),
            seal_retry_interval: Duration::from_millis(200),
            seal_timeout: Duration::from_secs(1),
            reply_grace: Duration::from_millis(500),
            chain_window: Duration::from_secs(10),
            resend_window: Duration::from_secs(2),
            max_recent_failures: 16_384,
            workspace_resend_burst: 20.0,
            workspace_resends_per_s: 5.0,
            retry_burst: 3.0,
            min_retries_per_s: 1.0,
            max_ended_attempts: 65_536,
            max_answer_bytes: 64 << 20,
            max_keys: 1_000,
            suspicion_ttl: Duration::from_secs(3_600),
            max_suspects: 10_000,
            suspect_wait: Duration::from_millis(500),
            max_parked_suspects: 64,
            suspicion_fanout: 3,
            suspicion_rounds: 3,
            suspicion_delay: Duration::from_millis(10),
            suspicion_interval: Duration::from_millis(100),
            leave_notice: Duration::from_secs(2),
            max_successors: 3,
            handover_rounds: 3,
            handover_retry_interval: Duration::from_millis(150),
            max_gone_regions: 10_000,
            queue_drain_timeout: Duration::from_secs(1),
            retry_after: Duration::from_secs(1),
        }
    }
}

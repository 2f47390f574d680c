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
    /// Seed of all random choices and of the tag on request keys.
    pub seed: u64,
    /// Calls that a chain may have above one another.
    pub max_depth: u8,
    /// Longest wait for the origin's grant of a retry.
    pub grant_timeout: Duration,
    /// Time between two questions to a gate about an attempt whose reply was lost.
    pub seal_interval: Duration,
    /// Longest wait for a gate's word about such an attempt.
    pub seal_timeout: Duration,
    /// Time past the deadline for which a home waits for the reply to an attempt.
    pub reply_grace: Duration,
    /// Time past its deadline for which a chain may be granted retries.
    pub chain_window: Duration,
    /// Time after a failed call in which an equal call without any id is taken for a resend.
    pub resend_window: Duration,
    /// Failed calls that are remembered for that.
    pub max_recent_failures: usize,
    /// Resends without any id that a customer may make to one service at once.
    pub customer_burst: f64,
    /// Resends without any id that a customer may make to one service in a second.
    pub customer_rate: f64,
    /// Retries to one service that need no first attempts to earn them.
    pub retry_floor: f64,
    /// Retries to one service that are earned by time alone, in a second.
    pub retry_floor_rate: f64,
    /// Ended attempts whose fate a gate remembers.
    pub max_fates: usize,
    /// Bytes of answers that a gate keeps for homes that lost them.
    pub max_fate_bytes: usize,
    /// Most keys given out at once.
    pub max_keys: u32,
    /// Time after which crashes are no longer counted against a request.
    pub suspicion_ttl: Duration,
    /// Requests against which crashes are counted.
    pub max_suspects: usize,
    /// Longest wait of a suspect for its target to be free.
    pub suspect_wait: Duration,
    /// Suspects that may wait at a gate for one another.
    pub max_parked: usize,
    /// Members to which news of a crash is passed on in each round.
    pub suspicion_fanout: usize,
    /// Rounds in which a node passes on a piece of news.
    pub suspicion_rounds: u32,
    /// Time for which news is gathered before the first round.
    pub suspicion_delay: Duration,
    /// Time between rounds.
    pub suspicion_interval: Duration,
    /// Time for which a leaving node refuses work, so that all members hear that it leaves.
    pub linger: Duration,
    /// Nodes that may be asked to take over from a home that leaves.
    pub max_successors: usize,
    /// Times that an entry asks them all for a key whose home is gone.
    pub handover_rounds: u32,
    /// Time between these.
    pub handover_pause: Duration,
    /// Gone members whose region is remembered.
    pub max_former: usize,
    /// Time for which a leaving gate still starts what waits at it.
    pub drain_queue: Duration,
    /// Time after which a refused caller may come back, where nothing better is known.
    pub retry_after: Duration,
}

impl Default for NodeSettings {
    fn default() -> NodeSettings {
        NodeSettings {
            seed: 0,
            max_depth: 16,
            grant_timeout: Duration::from_millis(250),
            seal_interval: Duration::from_millis(200),
            seal_timeout: Duration::from_secs(1),
            reply_grace: Duration::from_millis(500),
            chain_window: Duration::from_secs(10),
            resend_window: Duration::from_secs(2),
            max_recent_failures: 16_384,
            customer_burst: 20.0,
            customer_rate: 5.0,
            retry_floor: 3.0,
            retry_floor_rate: 1.0,
            max_fates: 65_536,
            max_fate_bytes: 64 << 20,
            max_keys: 1_000,
            suspicion_ttl: Duration::from_secs(3_600),
            max_suspects: 10_000,
            suspect_wait: Duration::from_millis(500),
            max_parked: 64,
            suspicion_fanout: 3,
            suspicion_rounds: 3,
            suspicion_delay: Duration::from_millis(10),
            suspicion_interval: Duration::from_millis(100),
            linger: Duration::from_secs(2),
            max_successors: 3,
            handover_rounds: 3,
            handover_pause: Duration::from_millis(150),
            max_former: 10_000,
            drain_queue: Duration::from_secs(1),
            retry_after: Duration::from_secs(1),
        }
    }
}

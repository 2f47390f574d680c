use std::time::Duration;

/// Settings of the rollout of configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Timeout for a peer's reply.
    pub reply_timeout: Duration,
    /// Time after which a push that was not delivered is sent again.
    pub retry_interval: Duration,
    /// Average time between comparisons of digests with a peer.
    pub sync_interval: Duration,
    /// Maximum duration of one watch call to the store.
    pub watch_timeout: Duration,
    /// Time between full lists by a watcher, which repair changes that a watch missed.
    pub list_interval: Duration,
    /// First backoff after a failed call to the store; doubles with each further failure.
    pub store_backoff: Duration,
    /// Maximum backoff after a failed call to the store.
    pub max_store_backoff: Duration,
    /// Grace period after the start. Until a peer's reply shows that this node has the peer's
    /// versions, the store's answers are deferred for at most this time, because a read from the
    /// store may be stale.
    pub peer_grace_period: Duration,
    /// Maximum size of the configurations in one message, in bytes. A single larger configuration
    /// is sent alone.
    pub max_config_bytes: usize,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings {
            reply_timeout: Duration::from_secs(2),
            retry_interval: Duration::from_secs(1),
            sync_interval: Duration::from_secs(5),
            watch_timeout: Duration::from_secs(20),
            list_interval: Duration::from_secs(60),
            store_backoff: Duration::from_millis(200),
            max_store_backoff: Duration::from_secs(5),
            peer_grace_period: Duration::from_millis(1500),
            max_config_bytes: 256 << 10,
        }
    }
}

use std::time::Duration;

/// Settings of the rollout of configurations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Longest wait for a peer's reply.
    pub reply_timeout: Duration,
    /// Wait before a message that was not delivered is sent again.
    pub retry_interval: Duration,
    /// Time between comparisons of digests with a peer.
    pub sync_interval: Duration,
    /// Longest wait of a watch at the store.
    pub watch_timeout: Duration,
    /// Time between full lists by a watcher, which repair what a watch missed.
    pub list_interval: Duration,
    /// First wait after a failed call to the store; doubles with each further one.
    pub store_backoff: Duration,
    /// Longest wait after a failed call to the store.
    pub max_store_backoff: Duration,
    /// Time after the start for which the store's answers wait for those of a peer, as the store
    /// may be stale.
    pub peer_grace: Duration,
    /// Bytes of configurations in one message at most, unless a single one is larger.
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
            peer_grace: Duration::from_millis(1500),
            max_config_bytes: 256 << 10,
        }
    }
}

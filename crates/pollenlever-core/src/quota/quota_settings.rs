use std::time::Duration;

/// Settings of quotas that may differ between nodes without affecting the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaSettings {
    /// Time after which a confirmed delegation is renewed.
    pub renewal_interval: Duration,
    /// Time after which a delegation without a reply is sent again.
    pub resend_interval: Duration,
    /// Time since the last read of the share table after which a holder stops using its units.
    pub table_lifetime: Duration,
    /// Time of absence from the members after which the lowering of a holder's entry is announced.
    pub announce_after: Duration,
    /// Time after the announcement until the units are taken. Must be longer than
    /// [`QuotaSettings::table_lifetime`], the life of a ticket, and the age of a stale read of the
    /// table together.
    pub take_after: Duration,
    /// Recent use of a workspace on this node that is prefetched with a token request.
    pub prefetch_time: Duration,
    /// Remaining lifetime of a token from which it is returned unless it is expected to be used.
    pub return_margin: Duration,
    /// Minimum time between the moments for which a home sends nodes back, so that an exceeded
    /// quota does not cost one token request for each token.
    pub min_retry_spacing: Duration,
    /// Maximum time for which a home sends a node back.
    pub max_retry_after: Duration,
    /// Time for which a node refuses a workspace without asking after its home was unavailable or
    /// has not replied.
    pub unavailable_pause: Duration,
    /// Shortest time after which callers may come back while the home is unavailable; the longest is
    /// twice this, so that they do not all come at once.
    pub unavailable_retry_after: Duration,
}

impl Default for QuotaSettings {
    fn default() -> QuotaSettings {
        QuotaSettings {
            renewal_interval: Duration::from_millis(400),
            resend_interval: Duration::from_millis(150),
            table_lifetime: Duration::from_secs(25 * 60),
            announce_after: Duration::from_secs(60),
            take_after: Duration::from_secs(30 * 60),
            prefetch_time: Duration::from_millis(250),
            return_margin: Duration::from_millis(150),
            min_retry_spacing: Duration::from_millis(20),
            max_retry_after: Duration::from_secs(5),
            unavailable_pause: Duration::from_millis(100),
            unavailable_retry_after: Duration::from_millis(600),
        }
    }
}

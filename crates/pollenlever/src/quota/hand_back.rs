use std::time::Duration;

use super::ShareKeeper;
use super::share_write::{ShareAction, ShareWrite};

/// Time between two checks whether all delegations have ended.
const WITHDRAWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause after two conflicts in a row. Of many nodes that leave at the same time, one writes
/// the table at a time.
const MAX_CONFLICT_PAUSE: Duration = Duration::from_millis(150);

/// Time after which other nodes are known to leave that do so at the same time, and must not get the
/// units.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Longest random addition to it, so that not all of these nodes write at the same time.
const MAX_START_JITTER: Duration = Duration::from_millis(500);

/// Return of the units of a node that leaves.
impl ShareKeeper {
    /// Ends all delegations and gives the units of this node to the nodes that stay. Runs until the
    /// process ends, as others may still give this node units.
    pub(super) async fn hand_back(&mut self) {
        let jitter = rand::random_range(0.0..1.0);
        tokio::time::sleep(SETTLE_TIME + MAX_START_JITTER.mul_f64(jitter)).await;
        let withdrawals = self.quota.lock_holder().withdraw(self.quota.clock.now());
        self.quota.send_delegations(withdrawals);
        loop {
            self.hand_back_entry().await;
            self.quota.mark_handed_back();
            self.quota.table_written.notified().await;
            if let Err(err) = self.read(self.quota.clock.now()).await {
                self.pause_after(&err).await;
            }
        }
    }

    async fn hand_back_entry(&mut self) {
        let mut conflicts = 0;
        while let Some(write) = self.hand_back_write() {
            if self.lowers_own_units(&write) && !self.is_withdrawn() {
                tokio::time::sleep(WITHDRAWN_CHECK_INTERVAL).await;
                continue;
            }
            match self.write(&write).await {
                Ok(true) => {
                    self.backoff.reset();
                    conflicts = 0;
                }
                Ok(false) => conflicts += 1,
                Err(err) => self.pause_after(&err).await,
            }
            // A conflict returns the present table, so the next write mostly succeeds if it follows
            // at once.
            if conflicts > 0 && conflicts % 2 == 0 {
                let jitter = rand::random_range(0.0..1.0);
                tokio::time::sleep(MAX_CONFLICT_PAUSE.mul_f64(jitter)).await;
            }
        }
    }

    fn is_withdrawn(&self) -> bool {
        self.quota.lock_holder().is_withdrawn(self.quota.clock.now())
    }

    /// The next write that hands units back; `None` if this node has none or no node stays.
    fn hand_back_write(&self) -> Option<ShareWrite> {
        let (expected, table) = self.known.table()?;
        let (name, incarnation) = (&self.quota.name, self.quota.me.incarnation);
        let table = table.hand_back(name, incarnation, &self.staying_names())?;
        Some(ShareWrite { action: ShareAction::HandBack, expected: *expected, table })
    }
}

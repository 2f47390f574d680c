use std::time::Duration;

use super::ShareKeeper;
use super::share_write::{ShareAction, ShareWrite};

/// Time between two checks whether all delegations have ended.
const WITHDRAWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Return of the units of a node that leaves.
impl ShareKeeper {
    /// Ends all delegations and gives the units of this node to the nodes that stay.
    pub(super) async fn hand_back(&mut self) {
        let withdrawals = self.quota.lock_holder().withdraw(self.quota.clock.now());
        self.quota.send_delegations(withdrawals);
        while !self.quota.lock_holder().is_withdrawn(self.quota.clock.now()) {
            tokio::time::sleep(WITHDRAWN_CHECK_INTERVAL).await;
        }
        while let Some(write) = self.hand_back_write() {
            if let Err(err) = self.write(&write).await {
                self.pause_after(&err).await;
            }
        }
    }

    /// The next write that hands units back; `None` if this node has none or no node stays.
    fn hand_back_write(&self) -> Option<ShareWrite> {
        let (expected, table) = self.known.table()?;
        let (name, incarnation) = (&self.quota.name, self.quota.me.incarnation);
        let table = table.hand_back(name, incarnation, &self.staying_names())?;
        Some(ShareWrite { action: ShareAction::HandBack, expected: *expected, table })
    }
}

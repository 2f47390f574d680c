use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::Timestamp;

/// Time of the next attempt to reach a seed, and the backoff after it.
#[derive(Debug)]
struct Seed {
    try_at: Timestamp,
    backoff: Duration,
}

/// Addresses of nodes through which to join. Each is tried with backoff while it is not a member.
#[derive(Debug, Default)]
pub(super) struct SeedList {
    seeds: BTreeMap<SocketAddr, Seed>,
}

impl SeedList {
    /// Adds addresses. Those already in the list keep their backoff.
    pub(super) fn add(&mut self, now: Timestamp, addrs: Vec<SocketAddr>, backoff: Duration) {
        for addr in addrs {
            self.seeds.entry(addr).or_insert(Seed { try_at: now, backoff });
        }
    }

    /// Returns the addresses to try now and schedules the next attempt of each.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        max_backoff: Duration,
        is_member: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (addr, seed) in &mut self.seeds {
            if seed.try_at > now {
                continue;
            }
            seed.try_at = now + seed.backoff;
            seed.backoff = (seed.backoff * 2).min(max_backoff);
            if !is_member(*addr) {
                due.push(*addr);
            }
        }
        due
    }

    /// Time of the next attempt; `None` without seeds.
    pub(super) fn wakeup(&self) -> Option<Timestamp> {
        self.seeds.values().map(|it| it.try_at).min()
    }
}

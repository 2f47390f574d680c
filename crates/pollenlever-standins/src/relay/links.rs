use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use super::{Link, LinkState, Location};

/// One-way delay between availability zones of a region.
const ZONE_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between regions.
const REGION_DELAY: Duration = Duration::from_millis(20);

type Endpoints = (Location, Location);

/// The links of a deployment; clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Links {
    overrides: Arc<RwLock<BTreeMap<Endpoints, (LinkState, Instant)>>>,
    cross_region_bytes: Arc<AtomicU64>,
}

impl Links {
    /// Current properties of the link from one location to another, for a connection opened at
    /// `opened`.
    pub fn link(&self, from: Location, to: Location, opened: Instant) -> Link {
        let overrides = self.overrides.read().unwrap_or_else(PoisonError::into_inner);
        let (state, since) = overrides.get(&(from, to)).copied().unwrap_or((LinkState::Up, opened));
        let delay = match (from.region == to.region, from == to) {
            (true, true) => Duration::ZERO,
            (true, false) => ZONE_DELAY,
            (false, _) => REGION_DELAY,
        };
        let (delay, state) = match state {
            LinkState::Slow(more) => (delay + more, LinkState::Up),
            LinkState::SilentForOpenConnections if opened < since => (delay, LinkState::Silent),
            LinkState::SilentForOpenConnections => (delay, LinkState::Up),
            other => (delay, other),
        };
        Link { delay, state, ..Link::default() }
    }

    /// Sets the state of the link between two locations, for both directions.
    pub fn set(&self, a: Location, b: Location, state: LinkState) {
        self.set_direction(a, b, state);
        self.set_direction(b, a, state);
    }

    /// Sets the state of the link from one location to another, for that direction only.
    pub fn set_direction(&self, from: Location, to: Location, state: LinkState) {
        let mut overrides = self.overrides.write().unwrap_or_else(PoisonError::into_inner);
        overrides.insert((from, to), (state, Instant::now()));
    }

    /// Number of bytes forwarded between regions since the relay started.
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn record_bytes(&self, from: Location, to: Location, bytes: usize) {
        if from.region != to.region {
            self.cross_region_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        }
    }
}

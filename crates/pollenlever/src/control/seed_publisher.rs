use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Membership, MembershipEvent, highest_scores};
use rand::Rng;
use tokio::time::sleep;

use super::cell::Cell;
use crate::store::{ABSENT, BoxObjectApi, PEERS_KIND, PeersObject, StoreError};

/// Members of a region that keep its peers object up to date.
const PUBLISHERS: usize = 2;
/// Peers in a region's object.
const LISTED_PEERS: usize = 5;
/// The object is written anew when fewer of its peers are live.
const MIN_LIVE_PEERS: usize = 3;
/// Seed of the choice of publishers.
const PUBLISHER_SEED: u64 = 0x7075_626c_6973;
/// Seed of the choice of listed peers.
const PEERS_SEED: u64 = 0x7065_6572_7321;
/// First wait between two looks at the store; doubles with each look.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait between two looks at the store.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Time for which a node that knows nobody tries the listed peers before it replaces them.
const MAX_JOIN_TIME: Duration = Duration::from_secs(3);
/// Name of the object of nodes without a region.
const NO_REGION: &str = "none";

/// Joins through the peers that the store lists, and keeps the list of this region up to date.
pub(super) struct SeedPublisher {
    pub(super) members: Arc<Cell<Membership>>,
    pub(super) store: BoxObjectApi,
}

impl SeedPublisher {
    /// Runs until the cell is stopped. Nodes that have joined and are no publisher leave the store
    /// alone.
    pub(super) async fn run(self) {
        let mut interval = FIRST_INTERVAL;
        while !self.members.is_stopped() {
            let is_concerned = !self.has_joined() || self.is_publisher();
            if is_concerned && let Err(err) = self.look().await {
                log::warn!("cannot read or write the peers in the store error=\"{err}\"");
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(interval.mul_f64(jitter)).await;
            interval = (interval * 2).min(MAX_INTERVAL);
        }
    }

    async fn look(&self) -> Result<(), StoreError> {
        let list = self.store.list(PEERS_KIND).await?;
        let own = self.own_region_name();
        let mut seeds = Vec::new();
        let mut listed = (ABSENT, Vec::new());
        for object in list.objects {
            let Ok(form) = serde_json::from_value::<PeersObject>(object.value) else { continue };
            seeds.extend_from_slice(&form.peers);
            if object.name == own {
                listed = (object.version, form.peers);
            }
        }
        self.members.notify(MembershipEvent::Seeds(seeds));
        let (version, peers) = listed;
        if self.is_publisher() && self.is_outdated(&peers) && !self.may_join_through(&peers) {
            let form = PeersObject { peers: self.wanted_peers() };
            let value = serde_json::to_value(&form)
                .map_err(|err| StoreError::Malformed(err.to_string()))?;
            match self.store.put(PEERS_KIND, &own, version, &value).await {
                Ok(_) | Err(StoreError::Conflict(_)) => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    /// Whether this node knows nobody yet and the list names others that it has hardly tried.
    fn may_join_through(&self, listed: &[SocketAddr]) -> bool {
        let me = self.members.read(|it| it.me().node.addr);
        let has_others = listed.iter().any(|it| *it != me);
        has_others && !self.has_joined() && self.members.elapsed() < MAX_JOIN_TIME
    }

    fn is_outdated(&self, listed: &[SocketAddr]) -> bool {
        let region: Vec<SocketAddr> =
            self.members.read(|it| it.region().map(|node| node.addr).collect());
        let live = listed.iter().filter(|it| region.contains(it)).count();
        live < MIN_LIVE_PEERS.min(region.len())
    }

    fn wanted_peers(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.members.read(|it| {
            let chosen = highest_scores(it.region(), PEERS_SEED, LISTED_PEERS);
            chosen.iter().map(|node| node.addr).collect()
        });
        peers.sort_unstable();
        peers
    }

    fn is_publisher(&self) -> bool {
        self.members.read(|it| {
            let chosen: Vec<NodeId> = highest_scores(it.region(), PUBLISHER_SEED, PUBLISHERS);
            chosen.contains(&it.me().node)
        })
    }

    fn has_joined(&self) -> bool {
        self.members.read(|it| it.table().live().count() > 1)
    }

    fn own_region_name(&self) -> String {
        let region = self.members.read(|it| it.me().region.to_string());
        if region.is_empty() { NO_REGION.to_owned() } else { region }
    }
}

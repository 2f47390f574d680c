use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Membership, MembershipEvent, highest_scores};
use rand::Rng;
use tokio::time::sleep;

use super::shared_machine::SharedMachine;
use crate::store::{ABSENT_VERSION, PEERS_KIND, PeersObject, SharedObjectApi, StoreError};

/// Members of a region that keep its [`PeersObject`] up to date.
const PUBLISHERS_PER_REGION: usize = 2;
/// Peers that a publisher writes into its region's object.
const MAX_LISTED_PEERS: usize = 5;
/// The object is rewritten when fewer of its peers are live.
const MIN_LIVE_PEERS: usize = 3;
/// Seed for choosing the publishers.
const PUBLISHER_SEED: u64 = 0x7075_626c_6973;
/// Seed for choosing the listed peers.
const PEERS_SEED: u64 = 0x7065_6572_7321;
/// First wait between two reads of the store; doubles with each read.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait between two reads of the store.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// Time after the start during which a node without other members tries to join through the listed
/// peers; afterwards it may replace them.
const MAX_JOIN_TIME: Duration = Duration::from_secs(3);
/// Name of the object for nodes without a region.
const NO_REGION: &str = "none";

/// Finds seed peers in the store to join through, and keeps the list of this region up to date.
pub(super) struct SeedPublisher {
    pub(super) members: Arc<SharedMachine<Membership>>,
    pub(super) store: SharedObjectApi,
}

impl SeedPublisher {
    /// Runs until the state machine is stopped. A node that has joined and is not a publisher makes
    /// no calls to the store.
    pub(super) async fn run(self) {
        let mut interval = FIRST_INTERVAL;
        while !self.members.is_stopped() {
            let needs_store = !self.has_joined() || self.is_publisher();
            if needs_store && let Err(err) = self.refresh().await {
                log::warn!("cannot read or write the peers in the store error=\"{err}\"");
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(interval.mul_f64(jitter)).await;
            interval = (interval * 2).min(MAX_INTERVAL);
        }
    }

    async fn refresh(&self) -> Result<(), StoreError> {
        let list = self.store.list(PEERS_KIND).await?;
        let own_name = self.own_region_name();
        let mut seeds = Vec::new();
        let mut own_list = (ABSENT_VERSION, Vec::new());
        for object in list.objects {
            let Ok(peers_object) = serde_json::from_value::<PeersObject>(object.value) else {
                continue;
            };
            seeds.extend_from_slice(&peers_object.peers);
            if object.name == own_name {
                own_list = (object.version, peers_object.peers);
            }
        }
        self.members.notify(MembershipEvent::Seeds(seeds));
        let (version, peers) = own_list;
        if self.is_publisher() && self.is_outdated(&peers) && !self.is_trying_listed_peers(&peers) {
            let peers_object = PeersObject { peers: self.choose_peers() };
            let value = serde_json::to_value(&peers_object)
                .map_err(|err| StoreError::Malformed(err.to_string()))?;
            match self.store.put(PEERS_KIND, &own_name, version, &value).await {
                Ok(_) | Err(StoreError::Conflict(_)) => {}
                Err(err) => return Err(err),
            }
        }
        Ok(())
    }

    /// Whether this node is still trying to join: it knows no other member, the list names other
    /// nodes, and [`MAX_JOIN_TIME`] has not passed.
    fn is_trying_listed_peers(&self, listed: &[SocketAddr]) -> bool {
        let me = self.members.read(|it| it.me().node.addr);
        let has_others = listed.iter().any(|it| *it != me);
        has_others && !self.has_joined() && self.members.elapsed() < MAX_JOIN_TIME
    }

    fn is_outdated(&self, listed: &[SocketAddr]) -> bool {
        let region: Vec<SocketAddr> =
            self.members.read(|it| it.region_members().map(|node| node.addr).collect());
        let live = listed.iter().filter(|it| region.contains(it)).count();
        live < MIN_LIVE_PEERS.min(region.len())
    }

    fn choose_peers(&self) -> Vec<SocketAddr> {
        let mut peers: Vec<SocketAddr> = self.members.read(|it| {
            let chosen = highest_scores(it.region_members(), PEERS_SEED, MAX_LISTED_PEERS);
            chosen.iter().map(|node| node.addr).collect()
        });
        peers.sort_unstable();
        peers
    }

    fn is_publisher(&self) -> bool {
        self.members.read(|it| {
            let chosen: Vec<NodeId> =
                highest_scores(it.region_members(), PUBLISHER_SEED, PUBLISHERS_PER_REGION);
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

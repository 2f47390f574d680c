use std::net::SocketAddr;
use std::time::Duration;

use pollenlever_core::membership::{MembershipEvent, highest_scores};
use rand::Rng;
use rand::seq::IteratorRandom;
use serde_json::Value;
use tokio::time::sleep;

use super::SharedMembership;
use crate::store::{
    ABSENT_VERSION, NamedObject, ObjectList, PeersObject, Revision, SharedObjectApi, StoreError,
};

/// Members of a region that keep its [`PeersObject`] up to date.
const PUBLISHERS_PER_REGION: usize = 2;
/// Peers that a publisher writes into its region's object.
const MAX_LISTED_PEERS: usize = 5;
/// The object is rewritten when fewer of its peers are live.
const MIN_LIVE_PEERS: usize = 3;
/// Listed peers of a region through which a node tries to join at the same time.
const SEEDS_PER_REGION: usize = 2;
/// Seed for choosing the publishers.
const PUBLISHER_SEED: u64 = 0x7075_626c_6973;
/// Seed for choosing the listed peers.
const PEERS_SEED: u64 = 0x7065_6572_7321;
/// First wait between two reads of the store; doubles with each read.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait between two reads of the store by a node that has not joined.
const MAX_JOIN_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait between two reads of the store by a publisher.
const MAX_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the start during which a node without other members tries to join through the listed
/// peers; afterwards it may replace them.
const MAX_JOIN_TIME: Duration = Duration::from_secs(3);
/// Longest wait of a node that finds no peers listed before it lists itself. The wait is random, so
/// that of many nodes that start together only a few write.
const MAX_FIRST_WRITE_DELAY: Duration = Duration::from_millis(600);
/// Name of the object for nodes without a region.
const NO_REGION: &str = "none";

/// Finds seed peers in the store to join through, and keeps the list of this region up to date.
pub(crate) struct SeedPublisher {
    pub(crate) members: SharedMembership,
    pub(crate) store: SharedObjectApi,
    /// Kind of the store objects that list peers.
    pub(crate) kind: &'static str,
}

/// Peers that the store lists.
#[derive(Debug, Default)]
struct ListedPeers {
    own_region: Vec<SocketAddr>,
    own_version: Revision,
    other_regions: Vec<Vec<SocketAddr>>,
}

impl SeedPublisher {
    /// Runs until the state machine is stopped. A node that has joined and is not a publisher makes
    /// no calls to the store.
    pub(crate) async fn run(self) {
        let mut interval = FIRST_INTERVAL;
        while !self.members.is_stopped() {
            let needs_store = !self.has_joined() || self.is_publisher();
            if needs_store && let Err(err) = self.refresh().await {
                log::warn!("cannot read or write the peers in the store error=\"{err}\"");
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(interval.mul_f64(jitter)).await;
            let max = if self.has_joined() { MAX_INTERVAL } else { MAX_JOIN_INTERVAL };
            interval = (interval * 2).min(max);
        }
    }

    async fn refresh(&self) -> Result<(), StoreError> {
        let mut listed = self.read().await?;
        if listed.own_region.is_empty() && !self.has_joined() {
            let wait = MAX_FIRST_WRITE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
            sleep(wait).await;
            listed = self.read().await?;
        }
        self.offer_seeds(&listed);
        let is_write_due = self.is_publisher()
            && self.is_outdated(&listed.own_region)
            && !self.is_trying_listed_peers(&listed.own_region);
        if is_write_due { self.write(listed.own_version).await } else { Ok(()) }
    }

    /// Reads the listed peers. An older list will do, since a write that is based on it fails.
    async fn read(&self) -> Result<ListedPeers, StoreError> {
        self.store.list_allowing_stale(self.kind).await.map(|it| self.listed_peers(it))
    }

    fn listed_peers(&self, list: ObjectList) -> ListedPeers {
        let own_name = self.own_region_name();
        let mut listed = ListedPeers { own_version: ABSENT_VERSION, ..ListedPeers::default() };
        for object in list.objects {
            let NamedObject { name, version, value } = object;
            let peers = parse_peers(&name, &value);
            if name == own_name {
                listed.own_version = version;
                listed.own_region = peers;
            } else {
                listed.other_regions.push(peers);
            }
        }
        listed
    }

    /// Lists peers of this region in the store. If another node has done so first, its list is
    /// used.
    async fn write(&self, expected: Revision) -> Result<(), StoreError> {
        let peers_object = PeersObject { peers: self.choose_peers() };
        let value = serde_json::to_value(&peers_object)
            .map_err(|err| StoreError::Malformed(err.to_string()))?;
        let name = self.own_region_name();
        match self.store.put(self.kind, &name, expected, &value).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(current)) => {
                let own_region = parse_peers(&name, &current.value);
                self.offer_seeds(&ListedPeers { own_region, ..ListedPeers::default() });
                Ok(())
            }
            Err(err) => Err(err),
        }
    }

    /// Passes some of the listed peers to the membership protocol. Those of other regions are for
    /// publishers, which connect the regions, and for nodes that find none of their own.
    fn offer_seeds(&self, listed: &ListedPeers) {
        let me = self.members.read(|it| it.me().node.addr);
        let mut rng = rand::rng();
        let mut choose = |peers: &[SocketAddr]| {
            let others = peers.iter().copied().filter(|it| *it != me);
            others.choose_multiple(&mut rng, SEEDS_PER_REGION)
        };
        let mut seeds = choose(&listed.own_region);
        if seeds.is_empty() || self.is_publisher() {
            seeds.extend(listed.other_regions.iter().flat_map(|it| choose(it)));
        }
        self.members.notify(MembershipEvent::Seeds(seeds));
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
        self.members.read(|it| it.is_chosen_in_region(PUBLISHER_SEED, PUBLISHERS_PER_REGION))
    }

    fn has_joined(&self) -> bool {
        self.members.read(|it| it.has_joined())
    }

    fn own_region_name(&self) -> String {
        let region = self.members.read(|it| it.me().region.to_string());
        if region.is_empty() { NO_REGION.to_owned() } else { region }
    }
}

/// Addresses in the value of a [`PeersObject`], without entries that are none.
fn parse_peers(name: &str, value: &Value) -> Vec<SocketAddr> {
    let Some(entries) = value["peers"].as_array() else {
        log::warn!("list of peers ignored name={name:?} error=\"no list `peers`\"");
        return Vec::new();
    };
    let parse = |it: &Value| it.as_str().and_then(|it| it.parse().ok());
    let peers: Vec<SocketAddr> = entries.iter().filter_map(parse).collect();
    if peers.len() < entries.len() {
        let ignored = entries.len() - peers.len();
        log::warn!("entries of a list of peers ignored name={name:?} count={ignored}");
    }
    peers
}

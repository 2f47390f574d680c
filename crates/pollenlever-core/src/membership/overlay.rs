use std::collections::BTreeMap;

use super::digest::hash_addr;
use super::{Member, highest_scores};
use crate::id::{NodeId, RegionName};

/// Seed of the choice of bridges; rings use the numbers from 0.
const BRIDGE_SEED: u64 = 0x6272_6964_6765;

/// A peer to which this node sends heartbeats and changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The peer.
    pub node: NodeId,
    /// Whether this node decides by its heartbeats if the peer is gone.
    pub monitored: bool,
}

/// Links of a node.
///
/// The members of a region stand in several rings, each in another pseudo-random order, and a node
/// links to its successor in each. A few members of each region, the bridges, link to the bridges
/// of the other regions. Members of another region are monitored only if their region has no one
/// else to do so: a cut between regions says nothing about who runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overlay {
    links: Vec<Link>,
}

impl Overlay {
    /// Links of `me` in `rings` rings and, if it is one of its region's `bridges`, across regions.
    pub fn new<'a>(
        me: &Member,
        live: impl IntoIterator<Item = &'a Member>,
        rings: u64,
        bridges: usize,
    ) -> Overlay {
        let mut regions: BTreeMap<&RegionName, Vec<NodeId>> = BTreeMap::new();
        for member in live {
            regions.entry(&member.region).or_default().push(member.node);
        }
        let own = regions.remove(&me.region).unwrap_or_default();
        let mut links = Vec::new();
        for ring in 0..rings {
            links.extend(successor(me.node, &own, ring).map(|node| Link { node, monitored: true }));
        }
        let own_bridges = highest_scores(own, BRIDGE_SEED, bridges);
        if let Some(rank) = own_bridges.iter().position(|it| *it == me.node) {
            for nodes in regions.values() {
                let monitored = nodes.len() == 1;
                let theirs = highest_scores(nodes.iter().copied(), BRIDGE_SEED, bridges);
                let node = theirs[rank % theirs.len()];
                links.push(Link { node, monitored });
            }
        }
        links.sort_unstable();
        links.dedup();
        Overlay { links }
    }

    /// The links in order of address.
    pub fn links(&self) -> &[Link] {
        &self.links
    }

    /// The link to a peer.
    pub fn link(&self, node: NodeId) -> Option<&Link> {
        self.links.iter().find(|it| it.node == node)
    }
}

/// The next node after `me` in the order of a ring; after the last one comes the first.
fn successor(me: NodeId, nodes: &[NodeId], ring: u64) -> Option<NodeId> {
    let place = |node: NodeId| (hash_addr(node.addr, ring), node);
    let mine = place(me);
    let others = nodes.iter().filter(|it| it.addr != me.addr);
    // Nodes after `me` come first, both parts in the order of their places.
    others.map(|it| place(*it)).min_by_key(|it| (*it <= mine, *it)).map(|(_, node)| node)
}

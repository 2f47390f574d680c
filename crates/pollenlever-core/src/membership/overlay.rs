use std::collections::BTreeMap;

use super::digest::address_hash;
use super::{Member, highest_scores};
use crate::id::{NodeId, RegionName};

/// Hash seed for the choice of bridges. Rings use their numbers from 0 as seeds.
const BRIDGE_SEED: u64 = 0x6272_6964_6765;

/// A peer to which this node sends heartbeats and changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    /// The peer.
    pub node: NodeId,
    /// Whether this node uses its heartbeats on the link to detect a failure of the peer.
    pub is_monitored: bool,
}

/// Links of a node in the gossip overlay.
///
/// The members of a region form several rings, each in a different pseudo-random order, and a node
/// links to its successor in each ring. A few members of each region, the bridges, link to the
/// bridges of the other regions. A member of another region is monitored only if it is alone in its
/// region, because a network partition between regions does not mean that the members behind it
/// have failed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Overlay {
    links: Vec<Link>,
}

impl Overlay {
    /// Computes the links of `me` in `rings` rings and, if `me` is one of the `bridges` bridges of
    /// its region, to the other regions. `live` are the members that are not gone, including `me`.
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
            links.extend(
                successor(me.node, &own, ring).map(|node| Link { node, is_monitored: true }),
            );
        }
        let own_bridges = highest_scores(own, BRIDGE_SEED, bridges);
        if let Some(rank) = own_bridges.iter().position(|it| *it == me.node) {
            for nodes in regions.values() {
                let is_monitored = nodes.len() == 1;
                let theirs = highest_scores(nodes.iter().copied(), BRIDGE_SEED, bridges);
                let node = theirs[rank % theirs.len()];
                links.push(Link { node, is_monitored });
            }
        }
        links.sort_unstable();
        links.dedup();
        Overlay { links }
    }

    /// The links, in order of address.
    pub fn links(&self) -> &[Link] {
        &self.links
    }

    /// The link to a peer; `None` if this node has none.
    pub fn link(&self, node: NodeId) -> Option<&Link> {
        self.links.iter().find(|it| it.node == node)
    }
}

/// The node that follows `me` in the order of a ring, which is cyclic; `None` if there is no other.
fn successor(me: NodeId, nodes: &[NodeId], ring: u64) -> Option<NodeId> {
    let ring_position = |node: NodeId| (address_hash(node.addr, ring), node);
    let my_position = ring_position(me);
    let others = nodes.iter().filter(|it| it.addr != me.addr);
    // Nodes after `me` sort before those that precede it, each group in ring order.
    others
        .map(|it| ring_position(*it))
        .min_by_key(|it| (*it <= my_position, *it))
        .map(|(_, node)| node)
}

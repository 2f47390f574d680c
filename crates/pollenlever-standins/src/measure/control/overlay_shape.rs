use std::collections::{HashMap, VecDeque};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, MembershipSettings, Overlay};

use super::table_cost::member;

/// Number of threads that compute links in parallel.
const THREADS: usize = 4;

/// Shape of the overlay network over which nodes spread changes, for a fleet of full size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OverlayShape {
    /// Largest number of outgoing links of a node.
    pub(super) max_links: usize,
    /// Largest number of incoming links of a node.
    pub(super) max_linked_by: usize,
    /// Total number of links between regions.
    pub(super) region_links: usize,
    /// Largest distance, in links, from a node of a sample to any other node.
    pub(super) max_distance: usize,
    /// Largest number of nodes that a node of the sample cannot reach.
    pub(super) unreached: usize,
}

impl OverlayShape {
    /// Computes the links of `count` members, and the distances from a sample of about 50 of them.
    pub(super) fn measure(count: usize) -> OverlayShape {
        let cfg = MembershipSettings::default();
        let members: Vec<Member> = (0..count).map(member).collect();
        let index_of: HashMap<NodeId, usize> =
            members.iter().enumerate().map(|(index, it)| (it.node, index)).collect();
        let links_of = |me: &Member| -> Vec<usize> {
            let overlay = Overlay::new(me, &members, cfg.rings, cfg.bridges);
            overlay.links().iter().map(|it| index_of[&it.node]).collect()
        };
        let links: Vec<Vec<usize>> = std::thread::scope(|scope| {
            let parts = members.chunks(count.div_ceil(THREADS));
            let parts = parts.map(|part| scope.spawn(|| part.iter().map(links_of).collect()));
            let parts: Vec<_> = parts.collect();
            parts.into_iter().flat_map(|it| it.join().unwrap_or_else(|_| Vec::new())).collect()
        });
        let mut linked_by = vec![0; count];
        for to in links.iter().flatten() {
            linked_by[*to] += 1;
        }
        let crosses = |(from, to): &(usize, usize)| members[*from].region != members[*to].region;
        let pairs =
            links.iter().enumerate().flat_map(|(from, to)| to.iter().map(move |it| (from, *it)));
        let region_links = pairs.filter(crosses).count();
        let starts = (0..count).step_by((count / 50).max(1));
        let distances: Vec<(usize, usize)> =
            starts.map(|start| farthest_and_unreached(&links, start)).collect();
        OverlayShape {
            max_links: links.iter().map(Vec::len).max().unwrap_or(0),
            max_linked_by: linked_by.into_iter().max().unwrap_or(0),
            region_links,
            max_distance: distances.iter().map(|it| it.0).max().unwrap_or(0),
            unreached: distances.iter().map(|it| it.1).max().unwrap_or(0),
        }
    }
}

/// Number of links from `start` to the farthest node, and number of nodes that it cannot reach.
fn farthest_and_unreached(links: &[Vec<usize>], start: usize) -> (usize, usize) {
    let mut distance = vec![None; links.len()];
    distance[start] = Some(0);
    let mut queue = VecDeque::from([start]);
    while let Some(from) = queue.pop_front() {
        let next = distance[from].map(|it: usize| it + 1);
        for to in &links[from] {
            if distance[*to].is_none() {
                distance[*to] = next;
                queue.push_back(*to);
            }
        }
    }
    let farthest = distance.iter().flatten().max().copied().unwrap_or(0);
    (farthest, distance.iter().filter(|it| it.is_none()).count())
}

use std::collections::HashMap;
use std::net::SocketAddr;

use super::DepartedTarget;
use crate::id::{Incarnation, NodeId};

/// Most nodes whose departures are kept. Others are refused once it is reached.
const MAX_NODES: usize = 10_000;
/// Departures that are kept for one node; those of the latest starts are.
const MAX_DEPARTURES_OF_A_NODE: usize = 4;

/// Departures of targets that this node keeps for the nodes beside them.
///
/// A node that is restarted knows nothing about its target, and the store may refuse it or come back from an
/// older copy. Each later process of a node is told what was kept for it. A process that knows an older
/// departure alone does not replace a later one with it.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// use pollenlever_core::mesh::{DepartedTarget, KeptDepartures};
/// let departed = DepartedTarget { instance: "i-1".into(), started: 5 };
/// let mut kept = KeptDepartures::default();
/// assert!(kept.keep("127.0.0.1:7101@1".parse().unwrap(), departed.clone()));
/// let restarted: NodeId = "127.0.0.1:7101@2".parse().unwrap();
/// assert_eq!(kept.kept_for(restarted.addr), [departed.clone()]);
/// assert_eq!(kept.begin_recall(restarted), [departed]);
/// assert_eq!(kept.begin_recall(restarted), []);
/// ```
#[derive(Debug, Default)]
pub struct KeptDepartures {
    by_node: HashMap<SocketAddr, Vec<KeptDeparture>>,
}

#[derive(Debug)]
struct KeptDeparture {
    departed: DepartedTarget,
    /// The latest process of the node that knows of the departure or is being told.
    told: Incarnation,
}

impl KeptDepartures {
    /// Keeps the departure of the target beside `node`. Returns whether there was room.
    pub fn keep(&mut self, node: NodeId, departed: DepartedTarget) -> bool {
        if !self.by_node.contains_key(&node.addr) && self.by_node.len() >= MAX_NODES {
            return false;
        }
        let kept = self.by_node.entry(node.addr).or_default();
        if let Some(known) = kept.iter_mut().find(|it| it.departed == departed) {
            known.told = known.told.max(node.incarnation);
            return true;
        }
        kept.push(KeptDeparture { departed, told: node.incarnation });
        if kept.len() > MAX_DEPARTURES_OF_A_NODE {
            kept.sort_by_key(|it| std::cmp::Reverse(it.departed.started));
            kept.truncate(MAX_DEPARTURES_OF_A_NODE);
        }
        true
    }

    /// The departures that are kept for processes of the node at `addr`.
    pub fn kept_for(&self, addr: SocketAddr) -> Vec<DepartedTarget> {
        let kept = self.by_node.get(&addr).into_iter().flatten();
        kept.map(|it| it.departed.clone()).collect()
    }

    /// The departures that a process has to be told, and is from now on: those that neither it nor a later
    /// process knows.
    pub fn begin_recall(&mut self, node: NodeId) -> Vec<DepartedTarget> {
        let kept = self.by_node.get_mut(&node.addr).into_iter().flatten();
        let untold = kept.filter(|it| it.told < node.incarnation);
        untold
            .map(|it| {
                it.told = node.incarnation;
                it.departed.clone()
            })
            .collect()
    }
}

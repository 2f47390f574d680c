use std::collections::HashMap;
use std::net::SocketAddr;

use super::DepartedTarget;
use crate::id::{Incarnation, NodeId};

/// Most departures that are kept. Others are refused once it is reached.
const MAX_DEPARTURES: usize = 10_000;

/// Departures of targets that this node keeps for the nodes beside them, which could not store them.
///
/// A node that is restarted knows nothing about its target, and the store may refuse it. Each later
/// process of a node is told what was kept for it.
///
/// ```
/// use pollenlever_core::mesh::{DepartedTarget, KeptDepartures};
/// let departed = DepartedTarget { instance: "i-1".into(), started: 5 };
/// let mut kept = KeptDepartures::default();
/// assert!(kept.keep("127.0.0.1:7101@1".parse().unwrap(), departed.clone()));
/// let restarted = "127.0.0.1:7101@2".parse().unwrap();
/// assert_eq!(kept.begin_recall(restarted), Some(departed));
/// assert_eq!(kept.begin_recall(restarted), None);
/// ```
#[derive(Debug, Default)]
pub struct KeptDepartures {
    by_node: HashMap<SocketAddr, KeptDeparture>,
}

#[derive(Debug)]
struct KeptDeparture {
    departed: DepartedTarget,
    /// The latest process of the node that knows of the departure or is being told.
    told: Incarnation,
}

impl KeptDepartures {
    /// Keeps the departure of the target beside `node` in place of an earlier one. Returns whether there
    /// was room.
    pub fn keep(&mut self, node: NodeId, departed: DepartedTarget) -> bool {
        if !self.by_node.contains_key(&node.addr) && self.by_node.len() >= MAX_DEPARTURES {
            return false;
        }
        self.by_node.insert(node.addr, KeptDeparture { departed, told: node.incarnation });
        true
    }

    /// The departure that a process has to be told, and is from now on; `None` if nothing is kept for
    /// its node, or if it or a later process knows.
    pub fn begin_recall(&mut self, node: NodeId) -> Option<DepartedTarget> {
        let kept = self.by_node.get_mut(&node.addr)?;
        if kept.told >= node.incarnation {
            return None;
        }
        kept.told = node.incarnation;
        Some(kept.departed.clone())
    }
}

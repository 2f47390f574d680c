use std::collections::BTreeSet;

use super::DepartedTarget;
use crate::id::NodeId;

/// Nodes that have to keep a departure, as far as there are so many.
pub const MIN_KEEPERS: usize = 2;

/// The other nodes that keep the departure of this node's target.
///
/// One that ends is replaced, so that a node that restarts while the store refuses it finds a keeper also
/// after the first ones have restarted.
///
/// ```
/// use pollenlever_core::mesh::{DepartedTarget, DepartureKeepers};
/// let departed = DepartedTarget { instance: "i-1".into(), started: 5 };
/// let others = ["127.0.0.1:7101@1".parse().unwrap(), "127.0.0.1:7102@1".parse().unwrap()];
/// let mut keepers = DepartureKeepers::default();
/// assert_eq!(keepers.to_ask(&departed, &others), others);
/// keepers.record(&departed, others[0]);
/// assert_eq!(keepers.to_ask(&departed, &others), [others[1]]);
/// keepers.record(&departed, others[1]);
/// assert!(keepers.are_enough(&departed, &others));
/// let restarted = ["127.0.0.1:7101@2".parse().unwrap(), others[1]];
/// assert!(!keepers.are_enough(&departed, &restarted));
/// ```
#[derive(Debug, Default)]
pub struct DepartureKeepers {
    departed: Option<DepartedTarget>,
    keepers: BTreeSet<NodeId>,
}

impl DepartureKeepers {
    /// The nodes of `possible` that may be asked to keep `departed`; empty once enough do.
    pub fn to_ask(&mut self, departed: &DepartedTarget, possible: &[NodeId]) -> Vec<NodeId> {
        if self.departed.as_ref() != Some(departed) {
            self.departed = Some(departed.clone());
            self.keepers.clear();
        }
        self.keepers.retain(|it| possible.contains(it));
        if self.are_enough(departed, possible) {
            return Vec::new();
        }
        possible.iter().filter(|it| !self.keepers.contains(it)).copied().collect()
    }

    /// Records that a node keeps `departed`.
    pub fn record(&mut self, departed: &DepartedTarget, keeper: NodeId) {
        if self.departed.as_ref() == Some(departed) {
            self.keepers.insert(keeper);
        }
    }

    /// Number of nodes that keep the departure.
    pub fn count(&self) -> usize {
        self.keepers.len()
    }

    /// Whether as many nodes keep `departed` as have to. Never, if no node can.
    pub fn are_enough(&self, departed: &DepartedTarget, possible: &[NodeId]) -> bool {
        let keeping = possible.iter().filter(|it| self.keepers.contains(it)).count();
        self.departed.as_ref() == Some(departed)
            && keeping >= MIN_KEEPERS.min(possible.len()).max(1)
    }
}

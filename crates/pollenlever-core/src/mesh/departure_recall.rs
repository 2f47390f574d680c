use std::collections::BTreeSet;
use std::time::Duration;

use crate::Timestamp;
use crate::id::NodeId;

/// Longest wait for the store while enough other nodes have answered, and wait for other nodes while the
/// store alone has.
const MAX_SOURCE_WAIT: Duration = Duration::from_millis(1500);
/// Time for which all nodes that may keep a departure are waited for, from when they are known. All but one
/// are enough afterwards.
const MAX_ALL_WAIT: Duration = Duration::from_secs(1);
/// Longest wait altogether, for a node that reaches nobody.
const MAX_RECALL_TIME: Duration = Duration::from_secs(5);

/// Decides when a started node has heard of every departure of its target that an earlier process of the node
/// may have confirmed. Until then it takes no target as ready.
///
/// A confirmed departure is in the store and at other nodes, or in one of the two. The store may refuse the
/// node or lack the departure, so the nodes that may keep it are asked as well.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::mesh::DepartureRecall;
/// let ms = Duration::from_millis;
/// let others = ["127.0.0.1:7101@1".parse().unwrap(), "127.0.0.1:7102@1".parse().unwrap()];
/// let mut recall = DepartureRecall::new(ms(0));
/// recall.record_store_answer();
/// assert_eq!(recall.to_ask(ms(10), Some(&others)), others);
/// assert!(!recall.is_complete(ms(10), Some(&others)));
/// recall.record_answer(others[0]);
/// recall.record_answer(others[1]);
/// assert!(recall.is_complete(ms(20), Some(&others)));
/// ```
#[derive(Debug)]
pub struct DepartureRecall {
    started_at: Timestamp,
    /// Since when nodes that may keep departures are known.
    asked_since: Option<Timestamp>,
    has_store_answered: bool,
    answered: BTreeSet<NodeId>,
}

impl DepartureRecall {
    /// Begins when the process of the node starts.
    pub fn new(started_at: Timestamp) -> DepartureRecall {
        DepartureRecall {
            started_at,
            asked_since: None,
            has_store_answered: false,
            answered: BTreeSet::new(),
        }
    }

    /// Records that the store has answered, with a departure or without one.
    pub fn record_store_answer(&mut self) {
        self.has_store_answered = true;
    }

    /// Records that a node has told all that it keeps.
    pub fn record_answer(&mut self, node: NodeId) {
        self.answered.insert(node);
    }

    /// The nodes that have to be asked, or asked again. `keepers` are those that may keep a departure, `None`
    /// while the members are not known.
    pub fn to_ask(&mut self, now: Timestamp, keepers: Option<&[NodeId]>) -> Vec<NodeId> {
        let Some(keepers) = keepers else { return Vec::new() };
        self.asked_since.get_or_insert(now);
        keepers.iter().filter(|it| !self.answered.contains(it)).copied().collect()
    }

    /// Whether reports of targets are taken from now on.
    pub fn is_complete(&self, now: Timestamp, keepers: Option<&[NodeId]>) -> bool {
        let since_start = now.saturating_sub(self.started_at);
        if since_start >= MAX_RECALL_TIME {
            return true;
        }
        let is_wait_over = since_start >= MAX_SOURCE_WAIT;
        match keepers {
            Some(keepers) => {
                (self.has_store_answered || is_wait_over) && self.have_enough_answered(now, keepers)
            }
            None => self.has_store_answered && is_wait_over,
        }
    }

    /// Number of nodes that have answered.
    pub fn answer_count(&self) -> usize {
        self.answered.len()
    }

    /// Whether the store has answered.
    pub fn has_store_answered(&self) -> bool {
        self.has_store_answered
    }

    fn have_enough_answered(&self, now: Timestamp, keepers: &[NodeId]) -> bool {
        let missing = keepers.iter().filter(|it| !self.answered.contains(it)).count();
        let is_one_missing_allowed = keepers.len() > 1
            && self.asked_since.is_some_and(|it| now.saturating_sub(it) >= MAX_ALL_WAIT);
        missing <= usize::from(is_one_missing_allowed)
    }
}

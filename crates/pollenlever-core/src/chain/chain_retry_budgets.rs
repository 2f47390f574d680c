use std::collections::{BTreeMap, BTreeSet};

use crate::Timestamp;
use crate::id::{ChainId, NodeId};

/// Remaining retry budgets of the chains of calls that began at this node, their origin.
///
/// An expired chain is granted no retries, so removing its entry changes nothing.
#[derive(Debug)]
pub(crate) struct ChainRetryBudgets {
    me: NodeId,
    chains: BTreeMap<u64, Chain>,
    expiries: BTreeSet<(Timestamp, u64)>,
    next_seq: u64,
}

#[derive(Debug)]
struct Chain {
    retries_left: u32,
    expires: Timestamp,
}

impl ChainRetryBudgets {
    pub(crate) fn new(me: NodeId) -> ChainRetryBudgets {
        ChainRetryBudgets { me, chains: BTreeMap::new(), expiries: BTreeSet::new(), next_seq: 0 }
    }

    /// Starts a chain with a budget of `budget` retries that may be granted until `expires`.
    pub(crate) fn start_chain(&mut self, budget: u32, expires: Timestamp) -> ChainId {
        self.next_seq += 1;
        let seq = self.next_seq;
        self.chains.insert(seq, Chain { retries_left: budget, expires });
        self.expiries.insert((expires, seq));
        ChainId { origin: self.me, seq }
    }

    /// Takes one retry from the chain's budget. Returns false if none is left, or if the chain has
    /// expired or did not begin here.
    pub(crate) fn take_retry(&mut self, now: Timestamp, id: ChainId) -> bool {
        match self.unexpired_chain(now, id) {
            Some(chain) if chain.retries_left > 0 => {
                chain.retries_left -= 1;
                true
            }
            _ => false,
        }
    }

    /// Time at which the chain expires; `None` if it has expired or did not begin here.
    pub(crate) fn expires_at(&mut self, now: Timestamp, id: ChainId) -> Option<Timestamp> {
        self.unexpired_chain(now, id).map(|it| it.expires)
    }

    /// Removes chains that have expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(&(at, seq)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.chains.remove(&seq);
        }
    }

    fn unexpired_chain(&mut self, now: Timestamp, id: ChainId) -> Option<&mut Chain> {
        if id.origin != self.me {
            return None;
        }
        self.chains.get_mut(&id.seq).filter(|it| it.expires > now)
    }
}

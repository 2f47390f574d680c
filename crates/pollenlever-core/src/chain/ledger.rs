use std::collections::{BTreeMap, BTreeSet};

use crate::Timestamp;
use crate::id::{ChainId, NodeId};

/// The retry counters of the chains that began at this node.
///
/// A chain that has expired gets no more grants, so forgetting it is safe.
#[derive(Debug)]
pub(crate) struct Ledger {
    me: NodeId,
    chains: BTreeMap<u64, Chain>,
    expiries: BTreeSet<(Timestamp, u64)>,
    next_seq: u64,
}

#[derive(Debug)]
struct Chain {
    grants_left: u32,
    expires: Timestamp,
}

impl Ledger {
    pub(crate) fn new(me: NodeId) -> Ledger {
        Ledger { me, chains: BTreeMap::new(), expiries: BTreeSet::new(), next_seq: 0 }
    }

    /// Begins a chain that may be granted `budget` retries until `expires`.
    pub(crate) fn open(&mut self, budget: u32, expires: Timestamp) -> ChainId {
        self.next_seq += 1;
        let seq = self.next_seq;
        self.chains.insert(seq, Chain { grants_left: budget, expires });
        self.expiries.insert((expires, seq));
        ChainId { origin: self.me, seq }
    }

    /// Takes one retry from the chain's budget. Returns whether there was one left.
    pub(crate) fn grant(&mut self, now: Timestamp, id: ChainId) -> bool {
        match self.live(now, id) {
            Some(chain) if chain.grants_left > 0 => {
                chain.grants_left -= 1;
                true
            }
            _ => false,
        }
    }

    /// Time at which the chain expires, if it began here and is live.
    pub(crate) fn expiry(&mut self, now: Timestamp, id: ChainId) -> Option<Timestamp> {
        self.live(now, id).map(|it| it.expires)
    }

    /// Forgets chains that have expired.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        while let Some(&(at, seq)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.chains.remove(&seq);
        }
    }

    fn live(&mut self, now: Timestamp, id: ChainId) -> Option<&mut Chain> {
        if id.origin != self.me {
            return None;
        }
        self.chains.get_mut(&id.seq).filter(|it| it.expires > now)
    }
}

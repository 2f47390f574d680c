use std::collections::{HashMap, VecDeque};

use super::{HoldId, MemoryShares, MessageKind, MessageLane, MessageSize};

/// What comes of a request for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// The memory is held from now on.
    Held,
    /// It is held once [`MemoryLedger::release`] or [`MemoryLedger::give_up`] names the request.
    Waiting,
    /// There will never be as much.
    TooLarge {
        /// Bytes that the messages of the lane may take together.
        available: usize,
    },
}

/// Decides which messages of others get memory, and which wait.
///
/// Load pattern: callers send long bodies and read long answers slowly, so that more is offered at a time
/// than the process has memory for.
///
/// ```
/// use pollenlever_core::memory::{Grant, MemoryLedger, MemoryShares, MessageLane};
/// let lane = MessageLane::ALL[1];
/// let mut ledger = MemoryLedger::new(MemoryShares::of_process(64_000_000));
/// assert_eq!(ledger.request(1, lane, 20_000_000), Grant::Held);
/// assert_eq!(ledger.request(2, lane, 1_000_000), Grant::Waiting);
/// assert_eq!(ledger.release(1), [2]);
/// ```
#[derive(Debug)]
pub struct MemoryLedger {
    shares: MemoryShares,
    holds: HashMap<HoldId, Hold>,
    /// Bytes held in each lane, in the order of [`MessageLane::ALL`].
    held: [usize; MessageLane::ALL.len()],
    /// Requests that wait in each lane, in the order of asking.
    waiting: [VecDeque<(HoldId, usize)>; MessageLane::ALL.len()],
}

#[derive(Debug)]
struct Hold {
    lane: MessageLane,
    bytes: usize,
}

impl MemoryLedger {
    /// Creates a ledger in which nothing is held.
    pub fn new(shares: MemoryShares) -> MemoryLedger {
        MemoryLedger {
            shares,
            holds: HashMap::new(),
            held: [0; MessageLane::ALL.len()],
            waiting: Default::default(),
        }
    }

    /// Asks for memory under a new `id`.
    pub fn request(&mut self, id: HoldId, lane: MessageLane, bytes: usize) -> Grant {
        let available = self.available(lane);
        if bytes > available {
            return Grant::TooLarge { available };
        }
        let has_waiting = !self.waiting[lane.index()].is_empty();
        if !has_waiting && self.fits(lane, bytes) {
            self.hold(id, lane, bytes);
            return Grant::Held;
        }
        self.waiting[lane.index()].push_back((id, bytes));
        Grant::Waiting
    }

    /// Gives memory back. Returns the waiting requests that get some of it.
    pub fn release(&mut self, id: HoldId) -> Vec<HoldId> {
        if let Some(Hold { lane, bytes }) = self.holds.remove(&id) {
            self.held[lane.index()] -= bytes;
        }
        self.grant_waiting()
    }

    /// Ends a request, whether it waits or holds its memory. Returns like
    /// [`release`](MemoryLedger::release).
    pub fn give_up(&mut self, id: HoldId) -> Vec<HoldId> {
        for waiting in &mut self.waiting {
            waiting.retain(|(it, _)| *it != id);
        }
        self.release(id)
    }

    /// Bytes held in a lane.
    pub fn held(&self, lane: MessageLane) -> usize {
        self.held[lane.index()]
    }

    /// Number of requests that wait in a lane.
    pub fn waiting_count(&self, lane: MessageLane) -> usize {
        self.waiting[lane.index()].len()
    }

    /// Bytes of the largest message for which a lane has memory.
    pub fn available(&self, lane: MessageLane) -> usize {
        match (lane.kind, lane.size) {
            (_, MessageSize::Small) => self.shares.of_lane(lane),
            (MessageKind::Body, MessageSize::Large) => {
                self.shares.of_lane(lane).min(self.shares.large)
            }
            // An answer that is the only one of its kind may take all.
            (_, MessageSize::Large) => self.shares.large,
        }
    }

    fn fits(&self, lane: MessageLane, bytes: usize) -> bool {
        let is_within_share = self.held(lane) + bytes <= self.shares.of_lane(lane);
        if lane.size == MessageSize::Small {
            return is_within_share;
        }
        let is_alone = self.held(lane) == 0 && bytes <= self.available(lane);
        (is_within_share || is_alone) && self.held_large() + bytes <= self.shares.large
    }

    fn held_large(&self) -> usize {
        let lanes = MessageLane::ALL.into_iter().filter(|it| it.size == MessageSize::Large);
        lanes.map(|it| self.held(it)).sum()
    }

    fn hold(&mut self, id: HoldId, lane: MessageLane, bytes: usize) {
        self.held[lane.index()] += bytes;
        self.holds.insert(id, Hold { lane, bytes });
    }

    fn grant_waiting(&mut self) -> Vec<HoldId> {
        let mut granted = Vec::new();
        for lane in MessageLane::ALL {
            while let Some(&(id, bytes)) = self.waiting[lane.index()].front()
                && self.fits(lane, bytes)
            {
                self.waiting[lane.index()].pop_front();
                self.hold(id, lane, bytes);
                granted.push(id);
            }
        }
        granted
    }
}

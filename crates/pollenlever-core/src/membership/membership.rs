use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::exchange::Exchange;
use super::failure_detector::FailureDetector;
use super::outbox::Outbox;
use super::seed_list::SeedList;
use super::{
    BucketId, Change, GossipMessage, GossipPurpose, Link, Member, MemberTable, MembershipAction,
    MembershipEvent, MembershipSettings, Overlay, TargetState, highest_scores, rank,
};
use crate::Timestamp;
use crate::id::{ExchangeId, NodeId};
use crate::policy::{Policy, TargetNotice};

/// Maximum number of follow-up comparisons of digests in one sync with a peer.
pub(super) const MAX_FOLLOW_UP_SYNCS: u32 = 128;
/// Of this many syncs, on average one goes to a random member of the region and one to a member
/// that is gone; the others go to linked peers.
pub(super) const RANDOM_SYNC_PERIOD: u32 = 8;

/// Gossip membership protocol of one node: its view of all members, and its failure detection.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::membership::*;
/// use pollenlever_core::policy::Policy;
/// let me = Member::new("127.0.0.1:7101@1f".parse().unwrap());
/// let mut members = Membership::new(MembershipSettings::default(), me.clone(), 7);
/// let mut actions = Vec::new();
/// members.handle(Duration::ZERO, MembershipEvent::Tick, &mut actions);
/// assert_eq!(actions, [MembershipAction::Updated(me)]);
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(super) cfg: MembershipSettings,
    pub(super) me: Member,
    pub(super) table: MemberTable,
    pub(super) overlay: Overlay,
    pub(super) is_overlay_current: bool,
    pub(super) link_generation: u64,
    pub(super) outbox: Outbox,
    pub(super) seeds: SeedList,
    pub(super) detector: FailureDetector,
    pub(super) exchanges: BTreeMap<ExchangeId, Exchange>,
    pub(super) next_exchange: ExchangeId,
    pub(super) next_sync: Timestamp,
    pub(super) last_tick: Timestamp,
    pub(super) is_announced: bool,
    pub(super) is_leaving: bool,
    pub(super) has_synced: bool,
    pub(super) rng: SmallRng,
}

pub(super) type Actions = Vec<MembershipAction>;

impl Membership {
    /// Creates the state of node `me`, which knows only itself. `me.version` must be higher than
    /// that of any earlier process at the same address; for example a wall clock time.
    pub fn new(cfg: MembershipSettings, me: Member, seed: u64) -> Membership {
        let mut table = MemberTable::default();
        table.merge(Timestamp::ZERO, Change::alive(me.clone()));
        Membership {
            cfg,
            me,
            table,
            overlay: Overlay::default(),
            is_overlay_current: false,
            link_generation: 0,
            outbox: Outbox::default(),
            seeds: SeedList::default(),
            detector: FailureDetector::default(),
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            next_sync: Timestamp::ZERO,
            last_tick: Timestamp::ZERO,
            is_announced: false,
            is_leaving: false,
            has_synced: false,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This node's own entry.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The table of all members.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Links to the peers to which this node sends heartbeats and changes.
    pub fn links(&self) -> &[Link] {
        self.overlay.links()
    }

    /// Number of times that the links were recomputed because members were added or removed.
    pub fn link_generation(&self) -> u64 {
        self.link_generation
    }

    /// Members of this node's region that are not gone, in order of address.
    pub fn region_members(&self) -> impl Iterator<Item = NodeId> {
        self.table.live().filter(|it| it.region == self.me.region).map(|it| it.node)
    }

    /// Whether this node knows any other member that is not gone.
    pub fn has_joined(&self) -> bool {
        self.table.live().any(|it| it.node != self.me.node)
    }

    /// Whether this node has compared its whole table with that of another member. Until then it may lack
    /// members that the others know.
    pub fn has_synced(&self) -> bool {
        self.has_synced
    }

    /// Whether this node is one of the `count` members of its region that rendezvous hashing with
    /// `seed` chooses for a duty. Two nodes may both think so for a moment, so the duty has to bear
    /// that.
    ///
    /// ```
    /// use pollenlever_core::membership::*;
    /// let me = Member::new("127.0.0.1:7101@1f".parse().unwrap());
    /// let members = Membership::new(MembershipSettings::default(), me, 7);
    /// assert!(members.is_chosen_in_region(1, 2));
    /// ```
    pub fn is_chosen_in_region(&self, seed: u64, count: usize) -> bool {
        highest_scores(self.region_members(), seed, count).contains(&self.me.node)
    }

    /// Position of this node among the members of its region, in the order of rendezvous hashing with
    /// `seed`; 0 is chosen first.
    pub fn rank_in_region(&self, seed: u64) -> usize {
        rank(self.region_members(), seed, self.me.node)
    }

    pub(super) fn on_target_notice(
        &mut self,
        now: Timestamp,
        notice: TargetNotice,
        actions: &mut Actions,
    ) {
        let mut me = self.me.after_notice(notice);
        if self.is_leaving {
            me.state = TargetState::Leaving;
        }
        if me != self.me {
            me.version += 1;
            self.replace_own_entry(now, me, actions);
        }
    }

    pub(super) fn on_leave(&mut self, now: Timestamp, actions: &mut Actions) {
        self.is_leaving = true;
        self.on_target_notice(now, TargetNotice::Leaving, actions);
    }

    /// Replaces this node's own entry and queues it for all links.
    pub(super) fn replace_own_entry(&mut self, now: Timestamp, me: Member, actions: &mut Actions) {
        self.me = me.clone();
        self.table.merge(now, Change::alive(me.clone()));
        self.outbox.queue_for_all(me.node.addr, None, now);
        actions.push(MembershipAction::Updated(me));
    }

    /// Sends the digest of the table to a peer, which compares it beginning with bucket `first`.
    /// `rounds` is the number of preceding comparisons in this sync.
    pub(super) fn sync(&mut self, to: NodeId, first: BucketId, rounds: u32, actions: &mut Actions) {
        if to.addr == self.me.node.addr {
            return;
        }
        let purpose = GossipPurpose::Sync { digest: self.table.digest().clone(), first };
        let changes = vec![Change::alive(self.me.clone())];
        let message = GossipMessage { purpose, changes };
        self.send(to, message, Exchange::Sync { to, rounds }, actions);
    }

    pub(super) fn send(
        &mut self,
        to: NodeId,
        message: GossipMessage,
        purpose: Exchange,
        actions: &mut Actions,
    ) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        self.exchanges.insert(exchange, purpose);
        let timeout = self.cfg.reply_timeout;
        actions.push(MembershipAction::Send { exchange, to, message, timeout });
    }
}

impl Policy for Membership {
    type Event = MembershipEvent;
    type Action = MembershipAction;

    fn handle(&mut self, now: Timestamp, event: MembershipEvent, actions: &mut Actions) {
        match event {
            MembershipEvent::Message(from, message) => {
                self.on_message(now, from, message, actions);
            }
            MembershipEvent::Reply(exchange, reply) => {
                self.on_reply(now, exchange, reply, actions);
            }
            MembershipEvent::Failed(exchange) => self.on_failed(now, exchange, actions),
            MembershipEvent::Seeds(addrs) => self.seeds.add(now, addrs, self.cfg.seed_backoff),
            MembershipEvent::Target(notice) => self.on_target_notice(now, notice, actions),
            MembershipEvent::Leave => self.on_leave(now, actions),
            MembershipEvent::Tick => self.on_tick(now, actions),
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if !self.is_announced || !self.is_overlay_current {
            return Some(self.last_tick);
        }
        let timers = [self.outbox.wakeup(), self.detector.wakeup(), self.seeds.wakeup()];
        timers.into_iter().flatten().chain([self.next_sync]).min()
    }
}

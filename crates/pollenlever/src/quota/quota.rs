use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::{ANY_INCARNATION, NodeId, NodeName, WorkspaceName};
use pollenlever_core::mesh::{MeshReply, MeshRequest};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::quota::{
    QuotaHome, QuotaSettings, ShareDelegation, ShareDelegationReply, ShareHolder, ShareTable,
    ShareUnits, TokenGrant, TokenRequest,
};
use pollenlever_core::workspace::{QuotaLimit, Workspace};
use tokio::sync::{Notify, watch};

use super::home_map::HomeMap;
use super::token_queue::TokenQueue;
use super::{QuotaMetrics, node_name};
use crate::mesh::RequestLog;
use crate::node::Clock;
use crate::peer::PeerClient;
use crate::store::Revision;

/// Number of shards that a share table may have.
pub(super) const SHARDS_RANGE: RangeInclusive<u32> = 1..=256;
/// Timeout of an exchange. It is longer than a connection needs to find its peer silent.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Quotas on a node: takes tokens for its requests, grants tokens as a home, and delegates its
/// units.
///
/// Nothing runs, is sent or is read from the store while no workspace has a quota.
pub(crate) struct Quota {
    pub(super) me: NodeId,
    /// Name under which this node holds units.
    pub(super) name: NodeName,
    pub(super) clock: Clock,
    pub(super) peers: PeerClient,
    pub(super) metrics: QuotaMetrics,
    /// Limits log lines about refused requests.
    pub(crate) log: RequestLog,
    tokens: Mutex<TokenQueue>,
    home: Mutex<QuotaHome>,
    holder: Mutex<ShareHolder>,
    homes: Mutex<HomeMap>,
    /// Revision of the last share table and its holders, for operators.
    table: Mutex<(Revision, BTreeMap<String, ShareUnits>)>,
    /// Number of shards; 0 while it is not known.
    shards: watch::Sender<u32>,
    /// Whether a workspace has a quota.
    active: watch::Sender<bool>,
    /// Number of changes of the members.
    members_version: AtomicU64,
    /// Whether homes have to be chosen anew.
    are_homes_outdated: AtomicBool,
    /// Nodes that have not replied.
    lost: Mutex<Vec<NodeId>>,
    /// Signalled when delegations may be due.
    pub(super) delegations_changed: Notify,
    /// Signalled when another node has written the share table in favour of this one.
    pub(super) table_written: Notify,
    /// Whether the node leaves.
    leaving: watch::Sender<bool>,
    /// Whether the units are handed back, or kept since no node stays.
    handed_back: watch::Sender<bool>,
}

impl Quota {
    pub(crate) fn new(me: NodeId, clock: Clock, peers: PeerClient, metrics: QuotaMetrics) -> Quota {
        let cfg = QuotaSettings::default();
        let name = node_name(me.addr);
        let holder = ShareHolder::new(name.clone(), me.incarnation, clock.now(), cfg);
        Quota {
            me,
            name,
            clock,
            peers,
            tokens: Mutex::new(TokenQueue::new(metrics.clone(), cfg)),
            metrics,
            log: RequestLog::default(),
            home: Mutex::new(QuotaHome::new(me, cfg)),
            holder: Mutex::new(holder),
            homes: Mutex::default(),
            table: Mutex::default(),
            shards: watch::channel(0).0,
            active: watch::channel(false).0,
            members_version: AtomicU64::new(0),
            are_homes_outdated: AtomicBool::new(true),
            lost: Mutex::default(),
            delegations_changed: Notify::new(),
            table_written: Notify::new(),
            leaving: watch::channel(false).0,
            handed_back: watch::channel(false).0,
        }
    }

    /// Applies the quotas of the workspaces in force.
    pub(crate) fn set_workspaces(&self, workspaces: &[Workspace]) {
        let limits: Vec<(WorkspaceName, QuotaLimit)> = workspaces
            .iter()
            .filter_map(|it| it.quota.map(|quota| (it.name.clone(), quota)))
            .collect();
        if limits.is_empty() && !self.is_active() {
            return;
        }
        self.lock_home().set_limits(self.clock.now(), &limits);
        self.active.send_replace(!limits.is_empty());
    }

    /// Whether a workspace has a quota.
    pub(super) fn is_active(&self) -> bool {
        *self.active.borrow()
    }

    /// Resolves once a workspace has a quota.
    pub(super) async fn wait_until_active(&self) {
        wait_until_set(&self.active).await;
    }

    /// Handles a change of the members, after which other homes may be chosen.
    pub(crate) fn on_members_changed(&self) {
        self.members_version.fetch_add(1, Ordering::Relaxed);
        self.are_homes_outdated.store(true, Ordering::Relaxed);
        self.delegations_changed.notify_one();
    }

    /// Number of changes of the members.
    pub(super) fn members_version(&self) -> u64 {
        self.members_version.load(Ordering::Relaxed)
    }

    /// Handles a delegation as the home of shards.
    pub(crate) fn on_delegation(&self, delegation: &ShareDelegation) -> ShareDelegationReply {
        if !SHARDS_RANGE.contains(&delegation.shard_count) {
            log::warn!("delegation ignored holder={} reason=shards", delegation.holder);
            return ShareDelegationReply { sequence: delegation.sequence, tickets: Vec::new() };
        }
        self.set_shards(delegation.shard_count);
        self.lock_home().on_delegation(self.clock.now(), delegation)
    }

    /// Answers token requests as the home of shards.
    pub(crate) fn on_token_requests(&self, requests: &[TokenRequest]) -> Vec<TokenGrant> {
        self.lock_home().on_requests(self.clock.now(), requests)
    }

    /// Makes this node read the share table at once.
    pub(crate) fn request_table_read(&self) {
        self.table_written.notify_one();
    }

    /// Number of shards; 0 while it is not known.
    pub(crate) fn shards(&self) -> u32 {
        *self.shards.borrow()
    }

    /// Sets the number of shards, which never changes once it is known.
    pub(super) fn set_shards(&self, shards: u32) {
        let is_new = self.shards.send_if_modified(|it| {
            let is_new = *it == 0 && SHARDS_RANGE.contains(&shards);
            if is_new {
                *it = shards;
            }
            is_new
        });
        if is_new {
            self.lock_home().set_shards(self.clock.now(), shards);
            self.on_members_changed();
        }
    }

    /// Records the share table for operators.
    pub(super) fn set_table(&self, revision: Revision, table: &ShareTable) {
        let holders = table.holders.iter().map(|(name, units)| (name.to_string(), *units));
        *lock(&self.table) = (revision, holders.collect());
    }

    /// Revision of the last share table and its holders.
    pub(super) fn table(&self) -> (Revision, BTreeMap<String, ShareUnits>) {
        lock(&self.table).clone()
    }

    /// Whether the homes are not chosen although the number of shards is known.
    pub(super) fn lacks_homes(&self) -> bool {
        self.lock_homes().shards() != self.shards()
    }

    /// Chooses the homes anew if members have changed. Returns whether they have.
    pub(super) fn update_homes(&self, candidates: impl FnOnce() -> Vec<NodeId>) -> bool {
        let is_outdated = self.are_homes_outdated.swap(false, Ordering::Relaxed);
        if is_outdated {
            *self.lock_homes() = HomeMap::new(self.me, self.shards(), &candidates());
        }
        is_outdated
    }

    /// Starts to give the units of this node back.
    pub(crate) fn start_leaving(&self) {
        self.on_members_changed();
        self.leaving.send_replace(true);
    }

    pub(super) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Resolves once the node leaves.
    pub(super) async fn wait_until_leaving(&self) {
        wait_until_set(&self.leaving).await;
    }

    pub(super) fn mark_handed_back(&self) {
        self.handed_back.send_replace(true);
    }

    /// Whether the units of this node are handed back, as far as there are any.
    pub(crate) fn is_handed_back(&self) -> bool {
        !self.is_active() || *self.handed_back.borrow()
    }

    /// Sends a message about the share table to any process at an address; `None` without a reply in
    /// time.
    pub(super) async fn exchange_any(
        self: &Arc<Quota>,
        addr: SocketAddr,
        req: MeshRequest,
        timeout: Duration,
    ) -> Option<MeshReply> {
        self.exchange(NodeId { addr, incarnation: ANY_INCARNATION }, req, timeout).await
    }

    /// Sends a message about quotas to another node; `None` without a reply in time. A node that does
    /// not reply for longer, or whose connection fails, counts as lost.
    pub(super) async fn exchange(
        self: &Arc<Quota>,
        to: NodeId,
        req: MeshRequest,
        timeout: Duration,
    ) -> Option<MeshReply> {
        let quota = Arc::clone(self);
        // The task goes on after the timeout, until the connection tells whether the node is lost.
        let exchange = tokio::spawn(async move { quota.try_exchange(to, req).await });
        match tokio::time::timeout(timeout, exchange).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(err)) => {
                log::error!("exchange about quotas failed node={to} reason={:?}", err.to_string());
                None
            }
            Err(_) => None,
        }
    }

    async fn try_exchange(&self, to: NodeId, req: MeshRequest) -> Option<MeshReply> {
        let exchange = self.peers.exchange(to, PeerRequest::Mesh(req), Bytes::new());
        match tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
            Ok(Ok((PeerReply::Mesh(reply), _))) => return Some(reply),
            Ok(Ok((reply, _))) => {
                log::debug!("message about quotas refused node={to} reply={reply:?}");
                return None;
            }
            Ok(Err(err)) => log::debug!("no reply about quotas node={to} reason={:?}", err.reason),
            Err(_) => log::debug!("no reply about quotas node={to} reason=timeout"),
        }
        lock(&self.lost).push(to);
        self.delegations_changed.notify_one();
        None
    }

    /// Nodes that have not replied since the last call.
    pub(super) fn take_lost(&self) -> Vec<NodeId> {
        std::mem::take(&mut lock(&self.lost))
    }

    pub(super) fn lock_tokens(&self) -> MutexGuard<'_, TokenQueue> {
        lock(&self.tokens)
    }

    pub(super) fn lock_home(&self) -> MutexGuard<'_, QuotaHome> {
        lock(&self.home)
    }

    pub(super) fn lock_holder(&self) -> MutexGuard<'_, ShareHolder> {
        lock(&self.holder)
    }

    pub(super) fn lock_homes(&self) -> MutexGuard<'_, HomeMap> {
        lock(&self.homes)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn wait_until_set(flag: &watch::Sender<bool>) {
    let mut flag = flag.subscribe();
    // The sender lives as long as the node, so waiting cannot fail.
    let _ = flag.wait_for(|it| *it).await;
}

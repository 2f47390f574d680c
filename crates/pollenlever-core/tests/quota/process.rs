use std::collections::HashMap;
use std::time::Duration;

use pollenlever_core::Timestamp;
use pollenlever_core::id::{NodeId, NodeName, WorkspaceName};
use pollenlever_core::membership::highest_scores;
use pollenlever_core::quota::*;
use pollenlever_core::workspace::QuotaLimit;

use crate::cluster::SHARDS;
use crate::faults::Mechanism;

/// Time between reads of the table by a node with units; shorter than in operation, so that a
/// history has many.
const READ_INTERVAL: Duration = Duration::from_secs(2);
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Age of a stale read of the table.
pub(crate) const MAX_STALENESS: Duration = Duration::from_secs(1);
/// Times of minutes are shortened to seconds, so that units are reclaimed within a history.
const TABLE_LIFETIME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone)]
pub(crate) enum Message {
    Delegate(ShareDelegation),
    Delegated(ShareDelegationReply),
    Take(Vec<TokenRequest>),
    Tokens(Vec<TokenGrant>),
}

/// A conditional write of the table.
#[derive(Debug, Clone)]
pub(crate) struct Write {
    pub(crate) base: TableRevision,
    pub(crate) table: ShareTable,
}

/// One process of a node: the state machines and what stands around them. All times are of its clock.
pub(crate) struct Process {
    pub(crate) id: NodeId,
    pub(crate) name: NodeName,
    pub(crate) holder: ShareHolder,
    pub(crate) home: QuotaHome,
    pub(crate) store: TokenStore,
    /// Members as this node sees them.
    pub(crate) view: Vec<(NodeName, NodeId)>,
    pub(crate) table: Option<(TableRevision, ShareTable)>,
    pub(crate) is_leaving: bool,
    without: Option<Mechanism>,
    reclaim: ReclaimTimer,
    /// Last revision that the holder was told.
    told: TableRevision,
    read_due: Timestamp,
    write: Option<(Write, Option<Timestamp>)>,
    waiting: HashMap<WorkspaceName, u32>,
    numbers: HashMap<WorkspaceName, u64>,
}

impl Process {
    pub(crate) fn new(
        now: Timestamp,
        name: NodeName,
        id: NodeId,
        limits: &[(WorkspaceName, QuotaLimit)],
        without: Option<Mechanism>,
    ) -> Process {
        let settings = QuotaSettings {
            table_lifetime: TABLE_LIFETIME,
            announce_after: Duration::from_secs(2),
            take_after: TABLE_LIFETIME + MAX_STALENESS + Duration::from_millis(2100),
            ..QuotaSettings::default()
        };
        let mut home = QuotaHome::new(id, settings);
        home.set_limits(now, limits);
        Process {
            holder: ShareHolder::new(name.clone(), id.incarnation, now, settings),
            store: TokenStore::new(settings),
            reclaim: ReclaimTimer::new(settings),
            told: 0,
            view: vec![(name.clone(), id)],
            id,
            name,
            home,
            table: None,
            is_leaving: false,
            without,
            read_due: now,
            write: None,
            waiting: HashMap::new(),
            numbers: HashMap::new(),
        }
    }

    pub(crate) fn home_of(&self, shard: ShardIndex) -> NodeId {
        highest_scores(self.view.iter().map(|it| it.1), u64::from(shard), 1)[0]
    }

    fn home_of_workspace(&self, workspace: &WorkspaceName) -> Option<NodeId> {
        let shards = self.table.as_ref()?.1.shards;
        Some(self.home_of(shard_of(workspace, shards)))
    }

    /// Delegations that are due.
    pub(crate) fn delegations(&mut self, now: Timestamp) -> Vec<(NodeId, Message)> {
        let homes: Vec<NodeId> = (0..SHARDS).map(|it| self.home_of(it)).collect();
        let mut due = if self.is_leaving { self.holder.withdraw(now) } else { Vec::new() };
        due.extend(self.holder.due(now, |shard| homes[shard as usize]));
        if self.without == Some(Mechanism::WaitBeforeDelegatingElsewhere) {
            for (home, message) in &due {
                self.pretend_confirmed(now, *home, message);
            }
        }
        due.into_iter().map(|(home, it)| (home, Message::Delegate(it))).collect()
    }

    fn pretend_confirmed(&mut self, now: Timestamp, home: NodeId, message: &ShareDelegation) {
        let withdrawn = message.shards.iter().filter(|it| it.units == 0 && it.ticket.is_some());
        let ticket = Ticket { incarnation: home.incarnation, issued: Timestamp::ZERO };
        let tickets = withdrawn.map(|it| (it.shard, ticket)).collect();
        self.holder.on_reply(
            now,
            home,
            &ShareDelegationReply { sequence: message.sequence, tickets },
        );
    }

    /// Whether the table is to be read now.
    pub(crate) fn starts_read(&mut self, now: Timestamp) -> bool {
        let is_due = now >= self.read_due;
        if is_due {
            let has_units = self.holder.units(now) > 0;
            self.read_due = now + if has_units { READ_INTERVAL } else { READ_INTERVAL / 2 };
        }
        is_due
    }

    pub(crate) fn on_table(
        &mut self,
        start: Timestamp,
        revision: TableRevision,
        read: &ShareTable,
    ) {
        let mut table = read.clone();
        if self.without == Some(Mechanism::Announcements) {
            table.lowering.clear();
        }
        let is_forged = self.without == Some(Mechanism::Revisions);
        self.told = if is_forged { self.told + 1 } else { revision };
        self.holder.on_table(start, self.told, &table);
        if revision > self.table.as_ref().map_or(0, |it| it.0) {
            self.home.set_shards(start, table.shards);
            self.table = Some((revision, read.clone()));
            self.write = self.write.take().filter(|it| it.0.base >= revision);
        }
    }

    /// The write to send now, if any; one without a reply is repeated.
    pub(crate) fn next_write(&mut self, now: Timestamp) -> Option<Write> {
        if self.write.is_none() {
            let (base, table) = self.table.as_ref()?;
            let live: Vec<NodeName> = self.view.iter().map(|it| it.0.clone()).collect();
            let incarnation = self.id.incarnation;
            let next = if self.is_leaving {
                table.hand_back(&self.name, incarnation, &live)
            } else {
                let confirmed = table.confirm(&self.name, incarnation);
                let taken = self.reclaim.next_table(now, table, &self.name, incarnation, &live);
                confirmed.or_else(|| table.give(&self.name, incarnation, &live)).or(taken)
            }?;
            self.holder.lower_to(*base, next.units_of(&self.name));
            self.write = Some((Write { base: *base, table: next }, None));
        }
        let (write, sent) = self.write.as_mut()?;
        let units = write.table.units_of(&self.name);
        let is_lowered = self.holder.is_lowered_to(now, units)
            || self.without == Some(Mechanism::LoweringBeforeWrite)
            || write.table.lowering.contains_key(&self.name);
        if !is_lowered || sent.is_some_and(|it| now < it + STORE_TIMEOUT) {
            return None;
        }
        *sent = Some(now);
        Some(write.clone())
    }

    pub(crate) fn on_write_reply(
        &mut self,
        now: Timestamp,
        revision: Option<TableRevision>,
        write: &Write,
    ) {
        match revision {
            Some(revision) => self.on_table(now, revision, &write.table),
            None => self.read_due = now,
        }
    }

    /// Whether this process leaves and has nothing left to do.
    pub(crate) fn has_left(&self) -> bool {
        let units = self.table.as_ref().map_or(0, |it| it.1.units_of(&self.name));
        self.is_leaving && units == 0
    }

    /// Sends a token request for the requests that wait, if none is in flight.
    pub(crate) fn ask(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
    ) -> Vec<(NodeId, Message)> {
        let waiting = self.waiting.get(workspace).copied().unwrap_or(0);
        let Some(home) = self.home_of_workspace(workspace).filter(|_| waiting > 0) else {
            return Vec::new();
        };
        let Some(request) = self.store.request(now, workspace, waiting) else { return Vec::new() };
        self.numbers.insert(workspace.clone(), request.number);
        let (view, shards) = (self.view.clone(), self.table.as_ref().map_or(1, |it| it.1.shards));
        let is_there = |it: &WorkspaceName| {
            let shard = u64::from(shard_of(it, shards));
            highest_scores(view.iter().map(|it| it.1), shard, 1)[0] == home
        };
        let mut requests = self.store.returns(now, is_there);
        requests.push(request);
        vec![(home, Message::Take(requests))]
    }

    pub(crate) fn wait(&mut self, workspace: &WorkspaceName) {
        *self.waiting.entry(workspace.clone()).or_default() += 1;
    }

    /// Requests that wait; they are to be tried again.
    pub(crate) fn stop_waiting(&mut self, workspace: &WorkspaceName) -> u32 {
        self.waiting.remove(workspace).unwrap_or(0)
    }

    pub(crate) fn on_grant(&mut self, now: Timestamp, grant: &TokenGrant) {
        let mut grant = grant.clone();
        if self.without == Some(Mechanism::GrantNumbers) && grant.number > 0 {
            grant.number = self.numbers.get(&grant.workspace).copied().unwrap_or(0);
        }
        self.store.on_grant(now, &grant);
    }

    /// Whether the token request with this number is the last one of the workspace.
    pub(crate) fn is_last_request(&self, workspace: &WorkspaceName, number: u64) -> bool {
        self.numbers.get(workspace) == Some(&number)
    }
}

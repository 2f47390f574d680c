use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{NodeClient, NodeRequestError, Propagation, RegionPropagation, query_all};
use crate::control::MemberStatus;

/// Time between two polls of the nodes that do not yet have the change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a list of members is reused, because the list of a large deployment is long.
const MEMBERS_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Function that asks the node at an HTTP address whether it has the change.
pub type NodeQuery<'a> = &'a (dyn Fn(&str) -> Result<bool, NodeRequestError> + Sync);

/// Polls nodes until a change has reached all of them.
pub struct PropagationWatch<'a> {
    client: &'a NodeClient,
    node: SocketAddr,
    query: NodeQuery<'a>,
    started: Instant,
    members: Vec<MemberStatus>,
    /// When `members` were fetched; `None` makes the next poll fetch them again.
    members_read_at: Option<Instant>,
    /// Ids of the nodes that have the change.
    done: HashSet<String>,
    propagation: Propagation,
}

impl<'a> PropagationWatch<'a> {
    /// Creates a watch over all members that `node` knows.
    pub fn new(
        client: &'a NodeClient,
        node: SocketAddr,
        query: NodeQuery<'a>,
    ) -> PropagationWatch<'a> {
        PropagationWatch {
            client,
            node,
            query,
            started: Instant::now(),
            members: Vec::new(),
            members_read_at: None,
            done: HashSet::new(),
            propagation: Propagation::default(),
        }
    }

    /// Polls until every node has the change or `max_wait` has passed, and returns the last result.
    pub fn wait(mut self, max_wait: Duration) -> Propagation {
        loop {
            self.poll_nodes();
            if self.propagation.is_complete() {
                // A node may have joined since the list of members was fetched.
                self.members_read_at = None;
                self.poll_nodes();
            }
            if self.propagation.is_complete() || self.started.elapsed() > max_wait {
                return self.propagation;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll_nodes(&mut self) {
        if let Err(reason) = self.refresh_members() {
            // The node may answer at the next poll.
            self.propagation.members_unknown = Some(reason);
            return;
        }
        let pending: Vec<&MemberStatus> =
            self.members.iter().filter(|it| !self.done.contains(&it.node)).collect();
        let answers = query_all(&pending, |it| (self.query)(&it.entry));
        let mut newly_done = Vec::new();
        let mut unreachable = Vec::new();
        for (member, answer) in pending.into_iter().zip(answers) {
            match answer {
                Ok(true) => newly_done.push(member.node.clone()),
                Ok(false) => {}
                Err(_) => unreachable.push(member.clone()),
            }
        }
        self.done.extend(newly_done);
        self.summarize(&unreachable);
    }

    fn refresh_members(&mut self) -> Result<(), String> {
        if self.members_read_at.is_some_and(|it| it.elapsed() < MEMBERS_REFRESH_INTERVAL) {
            return Ok(());
        }
        let status = self.client.status(self.node).map_err(|err| err.to_string())?;
        if status.members.is_empty() {
            return Err(format!("the node {} returned an empty list of members", self.node));
        }
        self.members = status.members;
        self.members_read_at = Some(Instant::now());
        Ok(())
    }

    fn summarize(&mut self, unreachable: &[MemberStatus]) {
        let mut regions: BTreeMap<String, RegionPropagation> = BTreeMap::new();
        for member in &self.members {
            let region = regions.entry(member.region.clone()).or_default();
            region.nodes += 1;
            region.done += usize::from(self.done.contains(&member.node));
        }
        for member in unreachable {
            let region = regions.entry(member.region.clone()).or_default();
            region.unreachable.push(member.entry.clone());
        }
        for (name, region) in &mut regions {
            let previous_done_ms = self.propagation.regions.get(name).and_then(|it| it.done_ms);
            let is_done = region.done == region.nodes;
            region.done_ms =
                is_done.then(|| previous_done_ms.unwrap_or(self.started.elapsed().as_millis()));
        }
        self.propagation = Propagation { regions, members_unknown: None };
    }
}

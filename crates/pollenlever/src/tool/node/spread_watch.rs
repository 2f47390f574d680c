use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use super::{NodeClient, NodeError, RegionSpread, Spread, ask_all};
use crate::control::MemberStatus;

/// Time between two looks at the nodes that lack the change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a list of members is used; the list of a large deployment is long.
const MEMBERS_LIFETIME: Duration = Duration::from_secs(1);

/// Asks the node at an HTTP address whether it has the change.
pub type AskNode<'a> = &'a (dyn Fn(&str) -> Result<bool, NodeError> + Sync);

/// Waits until a change is known on every node.
pub struct SpreadWatch<'a> {
    client: &'a NodeClient,
    node: SocketAddr,
    ask: AskNode<'a>,
    started: Instant,
    members: Vec<MemberStatus>,
    members_read: Option<Instant>,
    done: HashSet<String>,
    spread: Spread,
}

impl<'a> SpreadWatch<'a> {
    /// Watches all members that `node` knows.
    pub fn new(client: &'a NodeClient, node: SocketAddr, ask: AskNode<'a>) -> SpreadWatch<'a> {
        SpreadWatch {
            client,
            node,
            ask,
            started: Instant::now(),
            members: Vec::new(),
            members_read: None,
            done: HashSet::new(),
            spread: Spread::default(),
        }
    }

    /// Polls for at most `wait` and tells how far the change has come.
    pub fn wait(mut self, wait: Duration) -> Spread {
        loop {
            self.look();
            if self.spread.is_complete() {
                // A node may have joined since the members were read.
                self.members_read = None;
                self.look();
            }
            if self.spread.is_complete() || self.started.elapsed() > wait {
                return self.spread;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn look(&mut self) {
        if let Err(reason) = self.refresh_members() {
            // The node may answer at the next look.
            self.spread.members_unknown = Some(reason);
            return;
        }
        let lacking: Vec<&MemberStatus> =
            self.members.iter().filter(|it| !self.done.contains(&it.node)).collect();
        let answers = ask_all(&lacking, |it| (self.ask)(&it.entry));
        let mut reached = Vec::new();
        let mut unreachable = Vec::new();
        for (member, answer) in lacking.into_iter().zip(answers) {
            match answer {
                Ok(true) => reached.push(member.node.clone()),
                Ok(false) => {}
                Err(_) => unreachable.push(member.clone()),
            }
        }
        self.done.extend(reached);
        self.summarize(&unreachable);
    }

    fn refresh_members(&mut self) -> Result<(), String> {
        if self.members_read.is_some_and(|it| it.elapsed() < MEMBERS_LIFETIME) {
            return Ok(());
        }
        let status = self.client.status(self.node).map_err(|err| err.to_string())?;
        if status.members.is_empty() {
            return Err(format!("the node {} names none, not even itself", self.node));
        }
        self.members = status.members;
        self.members_read = Some(Instant::now());
        Ok(())
    }

    fn summarize(&mut self, unreachable: &[MemberStatus]) {
        let mut regions: BTreeMap<String, RegionSpread> = BTreeMap::new();
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
            let before = self.spread.regions.get(name).and_then(|it| it.done_ms);
            let all = region.done == region.nodes;
            region.done_ms = all.then(|| before.unwrap_or(self.started.elapsed().as_millis()));
        }
        self.spread = Spread { regions, members_unknown: None };
    }
}

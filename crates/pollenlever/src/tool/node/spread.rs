use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::{NodeClient, NodeError, ask_all};
use crate::control::MemberStatus;
use crate::tool::output::Table;

/// Time between two looks at the nodes that lack the change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How far a change has spread over the nodes of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RegionSpread {
    /// Nodes in the region.
    pub nodes: usize,
    /// Nodes that have the change.
    pub done: usize,
    /// Nodes that did not answer.
    pub unreachable: Vec<String>,
    /// Time until the last node had it, if all have.
    pub done_ms: Option<u128>,
}

/// How far a change has spread, by region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Spread {
    /// Regions by name.
    pub regions: BTreeMap<String, RegionSpread>,
    /// Why the members are not known, if the node that names them did not tell.
    pub members_unknown: Option<String>,
}

impl Spread {
    /// Whether every known node has the change.
    pub fn is_complete(&self) -> bool {
        self.members_unknown.is_none() && self.regions.values().all(|it| it.done == it.nodes)
    }

    /// The regions in columns; `done` names the column of nodes that have the change.
    pub fn table(&self, done: &str) -> String {
        let mut table = Table::new(["region", "nodes", done, "after ms", "not reached"]);
        for (name, region) in &self.regions {
            let after = region.done_ms.map_or("-".to_owned(), |it| it.to_string());
            let unreachable = region.unreachable.join(" ");
            let (nodes, done) = (region.nodes.to_string(), region.done.to_string());
            table.row([name.clone(), nodes, done, after, unreachable]);
        }
        match &self.members_unknown {
            Some(reason) => format!("members not known: {reason}\n{table}"),
            None => table.to_string(),
        }
    }
}

/// Asks the node at an HTTP address whether it has the change.
pub type AskNode<'a> = &'a (dyn Fn(&str) -> Result<bool, NodeError> + Sync);

/// Waits until a change is known on every node.
pub struct SpreadWatch<'a> {
    client: &'a NodeClient,
    node: SocketAddr,
    ask: AskNode<'a>,
    started: Instant,
    done: HashSet<String>,
    spread: Spread,
}

impl<'a> SpreadWatch<'a> {
    /// Watches all members that `node` knows.
    pub fn new(client: &'a NodeClient, node: SocketAddr, ask: AskNode<'a>) -> SpreadWatch<'a> {
        let (started, done, spread) = (Instant::now(), HashSet::new(), Spread::default());
        SpreadWatch { client, node, ask, started, done, spread }
    }

    /// Polls for at most `wait` and tells how far the change has come.
    pub fn wait(mut self, wait: Duration) -> Spread {
        loop {
            self.look();
            if self.spread.is_complete() || self.started.elapsed() > wait {
                return self.spread;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn look(&mut self) {
        let members = match self.members() {
            Ok(members) => members,
            Err(reason) => {
                // The node may answer at the next look.
                self.spread.members_unknown = Some(reason);
                return;
            }
        };
        let lacking: Vec<&MemberStatus> =
            members.iter().filter(|it| !self.done.contains(&it.node)).collect();
        let answers = ask_all(&lacking, |it| (self.ask)(&it.entry));
        let mut unreachable: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (member, answer) in lacking.iter().zip(answers) {
            match answer {
                Ok(true) => {
                    self.done.insert(member.node.clone());
                }
                Ok(false) => {}
                Err(_) => unreachable.entry(&member.region).or_default().push(member.entry.clone()),
            }
        }
        self.summarize(&members, &mut unreachable);
    }

    fn members(&self) -> Result<Vec<MemberStatus>, String> {
        let status = self.client.status(self.node).map_err(|err| err.to_string())?;
        if status.members.is_empty() {
            return Err(format!("the node {} names none, not even itself", self.node));
        }
        Ok(status.members)
    }

    fn summarize(
        &mut self,
        members: &[MemberStatus],
        unreachable: &mut BTreeMap<&str, Vec<String>>,
    ) {
        let mut regions: BTreeMap<String, RegionSpread> = BTreeMap::new();
        for member in members {
            let region = regions.entry(member.region.clone()).or_default();
            region.nodes += 1;
            region.done += usize::from(self.done.contains(&member.node));
        }
        for (name, region) in &mut regions {
            region.unreachable = unreachable.remove(name.as_str()).unwrap_or_default();
            let before = self.spread.regions.get(name).and_then(|it| it.done_ms);
            let all = region.done == region.nodes;
            region.done_ms = all.then(|| before.unwrap_or(self.started.elapsed().as_millis()));
        }
        self.spread = Spread { regions, members_unknown: None };
    }
}

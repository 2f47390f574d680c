use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::Member;
use pollenlever_core::message::PROTOCOL_VERSION;
use serde::{Deserialize, Serialize};

use super::MeshShared;
use super::log_event::{LogEvent, log_event};
use crate::peer::own_build;

/// First protocol version whose nodes know workspaces and quotas.
const WORKSPACES_VERSION: u16 = 5;
/// First protocol version whose nodes confirm routes.
const CONFIRMATIONS_VERSION: u16 = 7;
/// First protocol version whose nodes keep departures for each other.
const KEPT_DEPARTURES_VERSION: u16 = 8;
/// First protocol version whose nodes are asked by a restarted one what they keep for it.
const RECALLED_DEPARTURES_VERSION: u16 = 9;
/// Time between two checks whether members speak earlier protocol versions.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// A member as one node sees it, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Address and incarnation of the node.
    pub node: String,
    /// Region of the node.
    pub region: String,
    /// Availability zone of the node.
    pub zone: String,
    /// Service of its target; empty if there is none.
    pub service: String,
    /// State of its target.
    pub state: String,
    /// Protocol version that is spoken with it; `None` if there was no exchange with it yet.
    pub protocol: Option<u16>,
    /// Its build; `None` if it has not told it.
    pub build: Option<String>,
}

/// Members of one protocol version and build.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MemberVersion {
    /// The protocol version; `None` if there was no exchange yet.
    pub(super) protocol: Option<u16>,
    /// The build; `None` if it was not told.
    pub(super) build: Option<Arc<str>>,
}

/// What the members speak, as far as this node has exchanged messages with them.
impl MeshShared {
    /// The protocol version that is spoken with a node; `None` if it is not known.
    fn protocol_of(&self, node: NodeId) -> Option<u16> {
        if node == self.me { Some(PROTOCOL_VERSION) } else { self.peers.versions().protocol(node) }
    }

    fn version_of(&self, node: NodeId) -> MemberVersion {
        if node == self.me {
            return MemberVersion {
                protocol: Some(PROTOCOL_VERSION),
                build: Some(own_build().into()),
            };
        }
        let known = self.peers.versions().get(node);
        known.map_or_else(MemberVersion::default, |it| MemberVersion {
            protocol: Some(it.protocol),
            build: it.build,
        })
    }

    /// Whether the routes of a node include the workspaces.
    pub(super) fn sends_workspaces(&self, node: NodeId) -> bool {
        self.protocol_of(node).is_none_or(|it| it >= WORKSPACES_VERSION)
    }

    /// Whether a node reads confirmations of routes.
    pub(super) fn reads_confirmations(&self, node: NodeId) -> bool {
        self.protocol_of(node).is_none_or(|it| it >= CONFIRMATIONS_VERSION)
    }

    /// Whether a node can keep the departure of this node's target.
    pub(super) fn keeps_departures(&self, node: NodeId) -> bool {
        self.protocol_of(node).is_none_or(|it| it >= KEPT_DEPARTURES_VERSION)
    }

    /// Whether a node answers a restarted one that asks for its kept departures.
    pub(super) fn answers_recalls(&self, node: NodeId) -> bool {
        self.protocol_of(node).is_none_or(|it| it >= RECALLED_DEPARTURES_VERSION)
    }

    /// Members that can hold units of quotas and be homes of shards. Nodes that have not been heard of
    /// count among them, unless the deployment is known to have members that cannot.
    pub(super) fn members_with_quotas(&self) -> Vec<Member> {
        let members: Vec<Member> = self.members.read(|it| it.table().live().cloned().collect());
        let has_earlier = members.iter().any(|it| !self.sends_workspaces(it.node));
        let has_quotas = |node| match self.protocol_of(node) {
            Some(version) => version >= WORKSPACES_VERSION,
            None => !has_earlier,
        };
        members.into_iter().filter(|it| has_quotas(it.node)).collect()
    }

    /// Number of members, this node included, by protocol version and build.
    pub(super) fn member_versions(&self) -> BTreeMap<MemberVersion, usize> {
        let nodes: Vec<NodeId> =
            self.members.read(|it| it.table().live().map(|member| member.node).collect());
        let mut counts = BTreeMap::new();
        for node in nodes {
            *counts.entry(self.version_of(node)).or_default() += 1;
        }
        counts
    }

    /// All members, this node included, for operators.
    pub fn member_statuses(&self) -> Vec<MemberStatus> {
        let members: Vec<Member> = self.members.read(|it| it.table().live().cloned().collect());
        let status = |it: Member| {
            let version = self.version_of(it.node);
            MemberStatus {
                node: it.node.to_string(),
                region: it.region.to_string(),
                zone: it.zone.to_string(),
                service: it.service.map_or_else(String::new, |it| it.to_string()),
                state: format!("{:?}", it.state).to_lowercase(),
                protocol: version.protocol,
                build: version.build.map(|it| it.to_string()),
            }
        };
        members.into_iter().map(status).collect()
    }

    /// Logs when the first member of an earlier protocol version is seen, and when the last one is
    /// gone, for as long as the node runs.
    pub(super) async fn watch_member_versions(self: Arc<MeshShared>) {
        let mut had_earlier = false;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let versions = self.member_versions();
            let is_earlier =
                |it: &MemberVersion| it.protocol.is_some_and(|it| it < PROTOCOL_VERSION);
            let earlier: usize = versions.iter().filter(|it| is_earlier(it.0)).map(|it| it.1).sum();
            match (had_earlier, earlier > 0) {
                (false, true) => log_event!(
                    LogEvent::EarlierVersionsSeen,
                    "members={earlier} protocol={PROTOCOL_VERSION}"
                ),
                (true, false) => {
                    log_event!(LogEvent::EarlierVersionsGone, "protocol={PROTOCOL_VERSION}");
                }
                _ => {}
            }
            if had_earlier != (earlier > 0) {
                self.quota.on_members_changed();
            }
            had_earlier = earlier > 0;
        }
    }
}

use std::net::SocketAddr;

use super::Command;
use crate::mesh::MemberStatus;
use crate::tool::ToolError;
use crate::tool::node::NodeClient;
use crate::tool::output::{BoxReport, Report, Table, to_json};

/// The command `pollenlever members`, which shows the members, their protocol versions and builds as a
/// sidecar sees them.
pub(super) struct Members {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
}

struct MembersReport {
    members: Vec<MemberStatus>,
}

impl Command for Members {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let mut members = self.client.members(self.node)?;
        members.sort_by(|a, b| (&a.region, &a.zone, &a.node).cmp(&(&b.region, &b.zone, &b.node)));
        Ok(Box::new(MembersReport { members }))
    }
}

impl Report for MembersReport {
    fn table(&self) -> String {
        let headings = ["node", "region", "zone", "service", "state", "protocol", "build"];
        let mut table = Table::new(headings);
        for it in &self.members {
            let protocol = it.protocol.map_or_else(unknown, |it| it.to_string());
            let build = it.build.clone().unwrap_or_else(unknown);
            let MemberStatus { node, region, zone, service, state, .. } = it.clone();
            table.add_row([node, region, zone, service, state, protocol, build]);
        }
        table.to_string()
    }

    fn json(&self) -> String {
        to_json(&self.members)
    }
}

fn unknown() -> String {
    "-".to_owned()
}

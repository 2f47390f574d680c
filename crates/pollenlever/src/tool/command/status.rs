use std::net::SocketAddr;

use super::Command;
use crate::control::ControlStatus;
use crate::tool::ToolError;
use crate::tool::node::NodeClient;
use crate::tool::output::{BoxReport, Report, Table, to_json};

/// The command `pollenlever status`, which shows the members and configurations that a node knows.
pub(super) struct Status {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
}

struct StatusReport {
    status: ControlStatus,
}

impl Command for Status {
    fn run(&self) -> Result<BoxReport, ToolError> {
        Ok(Box::new(StatusReport { status: self.client.status(self.node)? }))
    }
}

impl Report for StatusReport {
    fn table(&self) -> String {
        let ControlStatus { node, region, zone, store_reachable, .. } = &self.status;
        let store = if *store_reachable { "reachable" } else { "not reachable" };
        let heading = format!("seen by {node} in {region}, {zone}; store {store}");
        format!("{heading}\n\n{}\n{}", members_table(&self.status), configs_table(&self.status))
    }

    fn json(&self) -> String {
        to_json(&self.status)
    }
}

fn members_table(status: &ControlStatus) -> Table {
    let mut table = Table::new(["entry", "region", "zone", "service", "state", "slots", "node"]);
    let mut members: Vec<_> = status.members.iter().collect();
    members.sort_by_key(|it| (&it.service, &it.region, &it.zone, &it.entry));
    for member in members {
        let service = member.service.as_deref().unwrap_or("-");
        let slots = member.slots.to_string();
        let location = [member.entry.as_str(), member.region.as_str(), member.zone.as_str()];
        let target = [service, member.state.as_str(), slots.as_str(), member.node.as_str()];
        table.add_row(location.into_iter().chain(target));
    }
    table
}

fn configs_table(status: &ControlStatus) -> Table {
    let mut table = Table::new(["configuration", "version in force"]);
    for (service, version) in &status.configs {
        table.add_row([service.clone(), version.to_string()]);
    }
    table
}

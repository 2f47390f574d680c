use std::net::SocketAddr;

use super::Command;
use crate::quota::QuotaStatus;
use crate::tool::ToolError;
use crate::tool::node::NodeClient;
use crate::tool::output::{BoxReport, Report, Table, to_json};

/// The command `pollenlever quota`, which shows shares, homes and buckets as a sidecar sees them.
pub(super) struct Quota {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
}

struct QuotaReport {
    status: QuotaStatus,
}

impl Command for Quota {
    fn run(&self) -> Result<BoxReport, ToolError> {
        Ok(Box::new(QuotaReport { status: self.client.quota(self.node)? }))
    }
}

impl Report for QuotaReport {
    fn table(&self) -> String {
        let QuotaStatus { node, is_active, table_version, units, .. } = &self.status;
        if !is_active {
            return format!("seen by {node}; no workspace has a quota");
        }
        let heading =
            format!("seen by {node}; share table version {table_version}; {units} units in use");
        let [holders, shards, buckets] =
            [holders_table, shards_table, buckets_table].map(|it| it(&self.status).to_string());
        format!("{heading}\n\n{holders}\n{shards}\n{buckets}")
    }

    fn json(&self) -> String {
        to_json(&self.status)
    }
}

fn holders_table(status: &QuotaStatus) -> Table {
    let mut table = Table::new(["holder", "units"]);
    for (holder, units) in &status.holders {
        table.add_row([holder.clone(), units.to_string()]);
    }
    table
}

/// The home of each shard, and what this node knows of the shards whose home it is.
fn shards_table(status: &QuotaStatus) -> Table {
    let mut table = Table::new(["shard", "home", "units", "holders", "workspaces"]);
    for (shard, home) in status.homes.iter().enumerate() {
        let own = status.shards.iter().find(|it| it.shard as usize == shard);
        let own = own.map(|it| [it.units as usize, it.holders.len(), it.workspaces]);
        let cells = own
            .map_or_else(|| ["-"; 3].map(str::to_owned), |it| it.map(|number| number.to_string()));
        table.add_row([shard.to_string(), home.clone()].into_iter().chain(cells));
    }
    table
}

fn buckets_table(status: &QuotaStatus) -> Table {
    let mut table = Table::new(["workspace", "shard", "tokens", "granted", "refused"]);
    let mut buckets: Vec<_> = status.buckets.iter().collect();
    buckets.sort_by_key(|it| &it.workspace);
    for it in buckets {
        let numbers = [
            it.shard.to_string(),
            format!("{:.1}", it.tokens),
            it.granted.to_string(),
            it.refused.to_string(),
        ];
        table.add_row([it.workspace.clone()].into_iter().chain(numbers));
    }
    table
}

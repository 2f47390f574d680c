use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::Command;
use crate::control::ControlStatus;
use crate::tool::node::{NodeClient, Spread, SpreadWatch};
use crate::tool::output::{BoxReport, Report, to_json};
use crate::tool::{Exit, ToolError};

/// State of a target that gets no new work.
const LEAVING: &str = "leaving";

/// `pollenlever drain`.
pub(super) struct Drain {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) wait: Duration,
}

#[derive(Serialize)]
struct DrainReport {
    target: SocketAddr,
    complete: bool,
    spread: Spread,
}

impl Command for Drain {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let target = self.target.to_string();
        let status = self.client.status(self.node)?;
        let member = status.members.iter().find(|it| it.entry == target);
        let node = &member.ok_or(ToolError::UnknownTarget(self.target))?.node;
        self.client.leave_target(self.target)?;
        let knows = |addr: &str| Ok(gets_no_new_work(&self.client.status(addr)?, node));
        let spread = SpreadWatch::new(&self.client, self.node, &knows).wait(self.wait);
        Ok(Box::new(DrainReport { target: self.target, complete: spread.is_complete(), spread }))
    }
}

/// Whether a node's view has the member as leaving or no longer at all.
fn gets_no_new_work(status: &ControlStatus, node: &str) -> bool {
    let member = status.members.iter().find(|it| it.node == node);
    member.is_none_or(|it| it.state == LEAVING)
}

impl Report for DrainReport {
    fn table(&self) -> String {
        let known = if self.complete { "every node" } else { "not yet every node" };
        let table = self.spread.table("knowing");
        format!("the target at {} is leaving; {known} knows\n\n{table}", self.target)
    }

    fn json(&self) -> String {
        to_json(self)
    }

    fn exit(&self) -> Exit {
        if self.complete { Exit::Done } else { Exit::NotInForce }
    }
}

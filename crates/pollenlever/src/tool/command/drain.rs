use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use super::Command;
use crate::control::ControlStatus;
use crate::tool::node::{NodeClient, Propagation, PropagationWatch};
use crate::tool::output::{BoxReport, Report, to_json};
use crate::tool::{Exit, ToolError};

/// Member state, as shown by the status, of a target that gets no new requests.
const LEAVING: &str = "leaving";

/// The command `pollenlever drain`, which takes a target out of service and waits until all nodes
/// know it.
pub(super) struct Drain {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) max_wait: Duration,
}

#[derive(Serialize)]
struct DrainReport {
    target: SocketAddr,
    complete: bool,
    spread: Propagation,
}

impl Command for Drain {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let target = self.target.to_string();
        let status = self.client.status(self.node)?;
        let member = status.members.iter().find(|it| it.entry == target);
        let node = &member.ok_or(ToolError::UnknownTarget(self.target))?.node;
        self.client.drain_target(self.target)?;
        let query = |addr: &str| Ok(is_leaving_or_removed(&self.client.status(addr)?, node));
        let spread = PropagationWatch::new(&self.client, self.node, &query).wait(self.max_wait);
        Ok(Box::new(DrainReport { target: self.target, complete: spread.is_complete(), spread }))
    }
}

/// Returns whether a node lists the member as leaving or does not list it any more.
fn is_leaving_or_removed(status: &ControlStatus, node: &str) -> bool {
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

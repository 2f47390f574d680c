use std::net::SocketAddr;

use serde::Serialize;

use super::Command;
use crate::tool::ToolError;
use crate::tool::node::NodeClient;
use crate::tool::output::{BoxReport, Report, to_json};

/// The command `pollenlever keys`, which takes request keys from a node.
pub(super) struct Keys {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
    pub(super) count: u32,
}

#[derive(Serialize)]
struct KeysReport {
    keys: Vec<String>,
}

impl Command for Keys {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let keys = self.client.take_keys(self.node, self.count)?;
        Ok(Box::new(KeysReport { keys }))
    }
}

impl Report for KeysReport {
    fn table(&self) -> String {
        self.keys.join("\n")
    }

    fn json(&self) -> String {
        to_json(self)
    }
}

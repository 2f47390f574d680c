use std::net::SocketAddr;
use std::path::PathBuf;

use super::Command;
use crate::manifest::Manifest;
use crate::tool::ToolError;
use crate::tool::burn::{Declarations, NodeAnswer, merge};
use crate::tool::node::{NodeClient, query_all};
use crate::tool::output::BoxReport;

/// The command `pollenlever report burn`.
pub(super) struct ReportBurn {
    pub(super) client: NodeClient,
    pub(super) node: SocketAddr,
    pub(super) manifest: Option<PathBuf>,
}

impl Command for ReportBurn {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let declared = match &self.manifest {
            Some(file) => Declarations::from(&Manifest::load(file)?),
            None => Declarations::default(),
        };
        let members = self.client.status(self.node)?.members;
        let burns = query_all(&members, |it| self.client.burn(&it.entry));
        let answers = members.into_iter().zip(burns);
        let answers: Vec<NodeAnswer> =
            answers.map(|(member, burn)| NodeAnswer { member, burn }).collect();
        Ok(Box::new(merge(&answers, &declared)))
    }
}

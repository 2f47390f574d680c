use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::config::ConfigVersion;

use super::apply_report::ApplyReport;
use super::outcome::Outcome;
use super::service_result::ServiceResult;
use super::submitter::Submitter;
use crate::cli::ApplyOptions;
use crate::control::ControlStatus;
use crate::manifest::Manifest;
use crate::store::StoreClient;
use crate::tool::ToolError;
use crate::tool::command::Command;
use crate::tool::node::{NodeClient, Propagation, PropagationWatch};
use crate::tool::output::BoxReport;

/// The command `pollenlever apply`.
pub(crate) struct Apply {
    pub(crate) client: NodeClient,
    /// Node that is queried for the list of members; `None` if the command does not wait.
    pub(crate) node: Option<SocketAddr>,
    pub(crate) options: ApplyOptions,
}

impl Command for Apply {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let manifest = Manifest::load(&self.options.file)?;
        let addr = self.options.store;
        let store_error = |source| ToolError::Store { addr, source };
        let api = Arc::new(StoreClient::new(addr).map_err(store_error)?);
        let submitter = Submitter { api, overwrite: self.options.overwrite };
        let services = submitter.submit_all(manifest.services)?.map_err(store_error)?;
        let in_force = match (self.node, self.options.max_wait) {
            (Some(node), Some(max_wait)) => Some(self.wait_in_force(node, max_wait, &services)),
            _ => None,
        };
        Ok(Box::new(ApplyReport { services, in_force }))
    }
}

impl Apply {
    fn wait_in_force(
        &self,
        node: SocketAddr,
        max_wait: Duration,
        services: &[ServiceResult],
    ) -> Propagation {
        let in_store = services.iter().filter(|it| is_in_store(it.outcome));
        let expected_versions: BTreeMap<&str, ConfigVersion> =
            in_store.filter_map(|it| Some((it.service.as_str(), it.version?))).collect();
        let query = |addr: &str| {
            Ok(has_versions(&self.client.status_without_members(addr)?, &expected_versions))
        };
        PropagationWatch::new(&self.client, node, &query).wait(max_wait)
    }
}

fn is_in_store(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Unchanged | Outcome::Accepted | Outcome::Replaced)
}

/// Returns whether a node has every expected version or a later one in force.
fn has_versions(status: &ControlStatus, expected_versions: &BTreeMap<&str, ConfigVersion>) -> bool {
    expected_versions.iter().all(|(service, version)| {
        status.configs.get(*service).is_some_and(|in_force| in_force >= version)
    })
}

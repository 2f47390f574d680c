use serde::Serialize;

use super::outcome::Outcome;
use super::service_result::ServiceResult;
use crate::tool::Exit;
use crate::tool::node::Propagation;
use crate::tool::output::{Report, Table, to_json};

/// Result of `pollenlever apply`.
#[derive(Debug, Serialize)]
pub(super) struct ApplyReport {
    pub(super) services: Vec<ServiceResult>,
    /// On how many nodes the accepted configurations are in force; `None` if the command did not
    /// wait.
    pub(super) in_force: Option<Propagation>,
}

impl ApplyReport {
    fn count(&self, outcome: Outcome) -> usize {
        self.services.iter().filter(|it| it.outcome == outcome).count()
    }
}

impl Report for ApplyReport {
    fn table(&self) -> String {
        let mut table = Table::new(["service", "outcome", "version", "note"]);
        for it in self.services.iter().filter(|it| it.outcome != Outcome::Unchanged) {
            let version = it.version.map_or("-".to_owned(), |it| it.to_string());
            table.add_row([
                it.service.clone(),
                it.outcome.as_str().to_owned(),
                version,
                it.note.clone(),
            ]);
        }
        let unchanged = self.count(Outcome::Unchanged);
        let changed = self.services.len() - unchanged;
        let mut text = format!("{changed} services changed, {unchanged} unchanged\n");
        if changed > 0 {
            text.push_str(&format!("\n{table}"));
        }
        if let Some(propagation) = &self.in_force {
            let heading = if propagation.is_complete() {
                "in force everywhere"
            } else {
                "NOT in force everywhere"
            };
            text.push_str(&format!("\n{heading}\n\n{}", propagation.table("in force")));
        }
        text
    }

    fn json(&self) -> String {
        to_json(self)
    }

    fn exit(&self) -> Exit {
        // The exit code of the worst outcome, the most severe first.
        let has_exit = |exit| self.services.iter().any(|it| it.outcome.exit() == exit);
        let by_severity = [Exit::Unknown, Exit::Failed, Exit::Overtaken];
        if let Some(exit) = by_severity.into_iter().find(|it| has_exit(*it)) {
            return exit;
        }
        let in_force = self.in_force.as_ref().is_none_or(Propagation::is_complete);
        if in_force { Exit::Done } else { Exit::NotInForce }
    }
}

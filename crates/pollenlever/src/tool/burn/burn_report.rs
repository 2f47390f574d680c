use serde::Serialize;

use super::{BurnRow, MissingNode, html, table};
use crate::tool::Exit;
use crate::tool::output::{Report, to_json};

/// Burn of all kinds of request, the most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BurnReport {
    /// Nodes that were asked.
    pub nodes: usize,
    /// Nodes that did not answer; their calls are in none of the counts.
    pub missing: Vec<MissingNode>,
    /// Declared regions from which no node answered.
    pub regions_without_answer: Vec<String>,
    /// Nodes that started within the longest window; their earlier calls, and those of the nodes
    /// that they replaced, are in none of the counts.
    pub recently_started: usize,
    /// Kind of request that is likely to breach first, as `service/kind`.
    pub first_breach: Option<String>,
    /// Kinds of request.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Whether every node and region is in the counts.
    pub fn is_complete(&self) -> bool {
        self.nodes > 0 && self.missing.is_empty() && self.regions_without_answer.is_empty()
    }

    /// Judges all rows and puts the most urgent first.
    pub(super) fn judge(&mut self) {
        let complete = self.is_complete();
        self.rows.iter_mut().for_each(|it| it.judge(complete));
        self.rows.sort_by(|a, b| {
            let rate = |it: &BurnRow| it.longest().burn_rate.unwrap_or(0.0);
            let by_rate = rate(b).total_cmp(&rate(a));
            a.outlook.urgency().cmp(&b.outlook.urgency()).then(by_rate)
        });
        let first = self.rows.first().filter(|it| it.outlook.is_breach());
        self.first_breach = first.map(BurnRow::name);
    }

    /// Nodes that answered.
    pub fn answered(&self) -> usize {
        self.nodes - self.missing.len()
    }

    /// One sentence on what is likely to breach first.
    pub(super) fn headline(&self) -> String {
        match (self.rows.first(), self.is_complete()) {
            (Some(row), _) if row.outlook.is_breach() => {
                format!("likely to breach first: {}, {}", row.name(), row.outlook)
            }
            (_, true) => "nothing is likely to breach at the present pace".to_owned(),
            (_, false) => "unknown whether anything is likely to breach".to_owned(),
        }
    }
}

impl Report for BurnReport {
    fn table(&self) -> String {
        table::render(self)
    }

    fn json(&self) -> String {
        to_json(self)
    }

    fn html(&self) -> Option<String> {
        Some(html::render(self))
    }

    fn exit(&self) -> Exit {
        if self.is_complete() { Exit::Done } else { Exit::Incomplete }
    }
}

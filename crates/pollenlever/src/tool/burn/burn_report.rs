use serde::Serialize;

use super::{BurnRow, MissingNode, html, table};
use crate::tool::Exit;
use crate::tool::output::{Report, to_json};

/// Use of the error budgets of all request kinds, the most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BurnReport {
    /// Number of nodes that were queried.
    pub nodes: usize,
    /// Nodes that did not answer; their calls are not included in any count.
    pub missing: Vec<MissingNode>,
    /// Declared regions from which no node answered.
    pub regions_without_answer: Vec<String>,
    /// Number of nodes that started within the longest window. Calls before their start, including
    /// those at the nodes that they replaced, are not included in any count.
    pub recently_started: usize,
    /// Request kind that is likely to breach its objective first, as `service/kind`; `None` if no
    /// breach is predicted.
    pub first_breach: Option<String>,
    /// One row for each request kind.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Returns whether every known node and every declared region answered.
    pub fn is_complete(&self) -> bool {
        self.nodes > 0 && self.missing.is_empty() && self.regions_without_answer.is_empty()
    }

    /// Evaluates all rows and sorts them, the most urgent first.
    pub(super) fn evaluate(&mut self) {
        let complete = self.is_complete();
        self.rows.iter_mut().for_each(|it| it.evaluate(complete));
        self.rows.sort_by(|a, b| {
            let rate = |it: &BurnRow| it.longest_window().burn_rate.unwrap_or(0.0);
            let by_rate = rate(b).total_cmp(&rate(a));
            a.outlook.urgency().cmp(&b.outlook.urgency()).then(by_rate)
        });
        let first = self.rows.first().filter(|it| it.outlook.is_breach());
        self.first_breach = first.map(BurnRow::name);
    }

    /// Returns the number of nodes that answered.
    pub fn answered(&self) -> usize {
        self.nodes - self.missing.len()
    }

    /// Returns one sentence that names the request kind likely to breach first.
    pub(super) fn headline(&self) -> String {
        match (self.rows.first(), self.is_complete()) {
            (Some(row), _) if row.outlook.is_breach() => {
                format!("likely to breach first: {}, {}", row.name(), row.outlook)
            }
            (_, true) => "nothing is likely to breach at the present burn rate".to_owned(),
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

use std::collections::BTreeMap;

use super::workload::Workload;
use crate::target::{RunRecord, answer_line, is_whole_answer};

/// Retries that the kind of the chains allows.
pub(super) const RETRY_BUDGET: u32 = 2;
/// Services that a chain goes through.
const CHAIN_DEPTH: usize = 2;

/// Violations found in the histories of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Checks {
    /// Orders that ran more than once.
    pub run_twice: usize,
    /// Orders that ran although a caller was told that they did not.
    pub false_not_run: usize,
    /// Chains whose runs at one service exceed one and the budget.
    pub over_budget: usize,
    /// Answers that are cut, or belong to another request.
    pub mixed_answers: usize,
    /// Runs that were cut by a drain.
    pub cut_in_flight: usize,
    /// Configurations that went back to an older version.
    pub reverts: u64,
}

impl Checks {
    /// Compares what callers were told with what targets logged.
    pub(super) fn new(workload: &Workload, records: &BTreeMap<String, Vec<RunRecord>>) -> Checks {
        let orders = runs_by_path(records, |machine, it| {
            machine.starts_with("stock") && it.method == "POST"
        });
        let sheets = runs_by_path(records, |machine, _| machine.starts_with("sheets"));
        let stock =
            runs_by_path(records, |machine, it| machine.starts_with("stock") && it.method == "GET");
        let mut checks = Checks::default();
        for order in &workload.orders {
            let runs = orders.get(order.path.as_str()).copied().unwrap_or_default();
            checks.run_twice += usize::from(runs > 1);
            checks.false_not_run += usize::from(order.told_not_run && runs > 0);
            let line = answer_line("stock", "POST", &order.path, b"");
            checks.mixed_answers += mixed(&order.answers, &line, 1);
        }
        for chain in &workload.chains {
            let most = [&sheets, &stock]
                .into_iter()
                .map(|it| it.get(chain.path.as_str()).copied().unwrap_or_default())
                .max();
            checks.over_budget += usize::from(most.unwrap_or_default() > 1 + RETRY_BUDGET);
            let line = answer_line("sheets", "GET", &chain.path, b"");
            checks.mixed_answers += mixed(&chain.answers, &line, CHAIN_DEPTH);
        }
        checks
    }

    /// Whether nothing is violated.
    pub fn hold(self) -> bool {
        self == Checks::default()
    }
}

fn mixed(answers: &[String], line: &str, depth: usize) -> usize {
    answers.iter().filter(|it| !is_whole_answer(it, line, depth)).count()
}

fn runs_by_path(
    records: &BTreeMap<String, Vec<RunRecord>>,
    wanted: impl Fn(&str, &RunRecord) -> bool,
) -> BTreeMap<&str, u32> {
    let mut runs = BTreeMap::new();
    for (machine, records) in records {
        for record in records.iter().filter(|it| it.phase == "start" && wanted(machine, it)) {
            *runs.entry(record.path.as_str()).or_default() += 1;
        }
    }
    runs
}

use std::collections::BTreeMap;

use super::workload::Workload;
use crate::target::{RunRecord, answer_line, is_complete_answer};

/// Retry budget that the request kinds of the trial declare.
pub(super) const RETRY_BUDGET: u32 = 2;
/// Number of services that a chain of calls passes through.
const CHAIN_DEPTH: usize = 2;

/// Number of violations of each guarantee in one trial.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations {
    /// Orders that ran more than once.
    pub run_twice: usize,
    /// Orders that ran although an answer said that they did not.
    pub false_not_run: usize,
    /// Chains that ran more often at one service than one attempt and the retry budget allow.
    pub over_budget: usize,
    /// Answers that are truncated or belong to another request.
    pub mixed_answers: usize,
    /// Runs that a drain interrupted.
    pub cut_in_flight: usize,
    /// Times that a node went back to an older version of a configuration.
    pub reverts: u64,
}

impl Violations {
    /// Compares the answers that callers received with the run logs of the targets.
    pub(super) fn new(
        workload: &Workload,
        records: &BTreeMap<String, Vec<RunRecord>>,
    ) -> Violations {
        let orders = runs_by_path(records, |machine, it| {
            machine.starts_with("stock") && it.method == "POST"
        });
        let sheets = runs_by_path(records, |machine, _| machine.starts_with("sheets"));
        let stock =
            runs_by_path(records, |machine, it| machine.starts_with("stock") && it.method == "GET");
        let mut violations = Violations::default();
        for order in &workload.orders {
            let runs = orders.get(order.path.as_str()).copied().unwrap_or_default();
            violations.run_twice += usize::from(runs > 1);
            violations.false_not_run += usize::from(order.reported_not_run && runs > 0);
            let line = answer_line("stock", "POST", &order.path, b"");
            violations.mixed_answers += count_invalid_answers(&order.answers, &line, 1);
        }
        for chain in &workload.chains {
            let max_runs = [&sheets, &stock]
                .into_iter()
                .map(|it| it.get(chain.path.as_str()).copied().unwrap_or_default())
                .max();
            violations.over_budget += usize::from(max_runs.unwrap_or_default() > 1 + RETRY_BUDGET);
            let line = answer_line("sheets", "GET", &chain.path, b"");
            violations.mixed_answers += count_invalid_answers(&chain.answers, &line, CHAIN_DEPTH);
        }
        violations
    }

    /// Whether there is no violation.
    pub fn is_clean(self) -> bool {
        self == Violations::default()
    }
}

/// Number of answers that are truncated or belong to another request.
fn count_invalid_answers(answers: &[String], line: &str, depth: usize) -> usize {
    answers.iter().filter(|it| !is_complete_answer(it, line, depth)).count()
}

/// Counts the started runs of each path among the records that `wanted` selects.
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

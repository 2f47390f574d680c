use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::answer::{ErrorKind, Outcome};
use pollenlever_core::id::ChainId;

/// What clients, targets and the network observed of the nodes.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Number of times that a target began to run each request, by body.
    pub(crate) runs: BTreeMap<Bytes, u32>,
    /// Times at which requests that crash targets began to run.
    pub(crate) poison_runs: BTreeMap<Bytes, Vec<Duration>>,
    /// Attempts sent between nodes, by chain and request body.
    pub(crate) attempts: BTreeMap<ChainId, BTreeMap<Bytes, u32>>,
    /// Answers that the client of each request received, by body.
    pub(crate) answers: BTreeMap<Bytes, Vec<(Outcome, Bytes)>>,
    /// Errors that the client of each request received, by body.
    pub(crate) errors: BTreeMap<Bytes, Vec<ErrorKind>>,
    /// Runs that were interrupted by the end of a node that had been asked to leave.
    pub(crate) interrupted_runs: u32,
    /// Runs started more than 3 s after their node was asked to leave.
    pub(crate) late_starts: u32,
    /// Machine, arrival and start of the requests less important than charges.
    pub(crate) less_important_starts: Vec<(usize, Duration, Duration)>,
    /// Machine, arrival and refusal of the charges that were shed.
    pub(crate) charge_sheds: Vec<(usize, Duration, Duration)>,
    /// Time at which nodes were asked to leave, by machine and incarnation.
    pub(crate) leave_requests: BTreeMap<(usize, u64), Duration>,
    /// Number of nodes that finished leaving.
    pub(crate) completed_leaves: u32,
}

impl History {
    /// Requests that ran although some client was told that they did not.
    pub(crate) fn false_not_run(&self) -> Vec<&Bytes> {
        let told_not_run = self.answers.iter().filter(|(_, it)| has_outcome(it, Outcome::NotRun));
        told_not_run.map(|(body, _)| body).filter(|it| self.runs.contains_key(*it)).collect()
    }

    /// Number of requests with an answer that belongs to another request, or with differing answers to
    /// a charge.
    pub(crate) fn mixed_answers(&self) -> usize {
        self.answers.iter().filter(|(body, answers)| is_mixed(body, answers)).count()
    }

    /// Number of chains with more retries than `budget`.
    pub(crate) fn over_budget(&self, budget: u32) -> usize {
        self.attempts.values().filter(|it| retries(it) > budget).count()
    }

    /// Number of requests of a kind to which a client received the target's answer.
    pub(crate) fn answered(&self, prefix: &str) -> usize {
        let of_kind = self.answers.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes()));
        of_kind.filter(|(_, it)| has_outcome(it, Outcome::Ran)).count()
    }

    /// Requests whose client received this error.
    pub(crate) fn requests_with_error(&self, err: ErrorKind) -> Vec<&Bytes> {
        let with_error = self.errors.iter().filter(|(_, it)| it.contains(&err));
        with_error.map(|(body, _)| body).collect()
    }

    /// Number of charges that were shed although, at the same machine, a less important request that
    /// had arrived before the refusal started after the charge's arrival.
    pub(crate) fn unfair_sheds(&self) -> usize {
        let is_unfair = |shed: &&(usize, Duration, Duration)| {
            self.less_important_starts
                .iter()
                .any(|run| run.0 == shed.0 && run.1 <= shed.2 && run.2 >= shed.1)
        };
        self.charge_sheds.iter().filter(is_unfair).count()
    }

    /// Number of requests that crash their targets and ran again more than `spread_time` after crash
    /// number `max_crashes`.
    pub(crate) fn late_poison(&self, max_crashes: usize, spread_time: Duration) -> usize {
        let is_late = |runs: &&Vec<Duration>| {
            let limit_reached = runs.get(max_crashes - 1);
            limit_reached.is_some_and(|at| runs.iter().any(|it| *it > *at + spread_time))
        };
        self.poison_runs.values().filter(is_late).count()
    }

    /// Highest number of runs of a single request of a kind.
    pub(crate) fn most_runs(&self, prefix: &str) -> u32 {
        let of_kind = self.runs.iter().filter(|(body, _)| body.starts_with(prefix.as_bytes()));
        of_kind.map(|(_, count)| *count).max().unwrap_or(0)
    }
}

fn has_outcome(answers: &[(Outcome, Bytes)], outcome: Outcome) -> bool {
    answers.iter().any(|(it, _)| *it == outcome)
}

fn is_mixed(request: &Bytes, answers: &[(Outcome, Bytes)]) -> bool {
    let whole: Vec<&Bytes> =
        answers.iter().filter(|(it, _)| *it == Outcome::Ran).map(|(_, body)| body).collect();
    let own = [&b"answer to "[..], request, b" by run "].concat();
    let keyed = request.starts_with(b"charge:");
    whole.iter().any(|it| !it.starts_with(&own))
        || keyed && whole.windows(2).any(|it| it[0] != it[1])
}

fn retries(attempts: &BTreeMap<Bytes, u32>) -> u32 {
    attempts.values().map(|it| it - 1).sum()
}

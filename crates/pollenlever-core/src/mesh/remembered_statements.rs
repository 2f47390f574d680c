use std::collections::HashMap;
use std::net::SocketAddr;

use super::{ProcessStatement, TargetStatement};

/// Most targets whose statements are remembered. Others are not remembered once it is reached.
const MAX_STATEMENTS: usize = 10_000;

/// What targets stated in the answers that this node passed on, by the address of the node beside
/// the target.
///
/// A gate that is restarted knows nothing about its target. Owners send it what they remember with
/// their attempts, so that no request of an owner which was told exceeds a stated rate or reaches a
/// target that leaves.
///
/// ```
/// use pollenlever_core::mesh::{ProcessStatement, RememberedStatements, TargetStatement};
/// let gate = "127.0.0.1:7101".parse().unwrap();
/// let of = |rate_limit| {
///     let statement = TargetStatement { rate_limit, is_leaving: false };
///     ProcessStatement { instance: "i-1".into(), started: 5, statement }
/// };
/// let mut remembered = RememberedStatements::default();
/// remembered.record(gate, Some(of(Some(5.1))));
/// remembered.record(gate, None);
/// assert_eq!(remembered.get(gate), Some(of(Some(5.1))));
/// remembered.record(gate, Some(of(None)));
/// assert_eq!(remembered.get(gate), None);
/// ```
#[derive(Debug, Default)]
pub struct RememberedStatements {
    by_gate: HashMap<SocketAddr, ProcessStatement>,
}

impl RememberedStatements {
    /// Records the statement in the reply of a gate; `None` if the gate has not read any.
    pub fn record(&mut self, gate: SocketAddr, stated: Option<ProcessStatement>) {
        let Some(stated) = stated else { return };
        if stated.statement == TargetStatement::default() {
            self.by_gate.remove(&gate);
        } else if self.by_gate.contains_key(&gate) || self.by_gate.len() < MAX_STATEMENTS {
            self.by_gate.insert(gate, stated);
        }
    }

    /// What the target beside the node at `gate` stated last; `None` if it stated nothing.
    pub fn get(&self, gate: SocketAddr) -> Option<ProcessStatement> {
        self.by_gate.get(&gate).cloned()
    }
}

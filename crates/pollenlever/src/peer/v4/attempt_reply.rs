use bincode::{Decode, Encode};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply as Current, ProcessStatement, RouteVersion,
};

use super::{GateLoad, known_error};

/// Reply to an attempt.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) struct AttemptReply {
    outcome: AttemptOutcome,
    headers: Vec<(String, Vec<u8>)>,
    load: GateLoad,
    routes: RouteVersion,
    statement: Option<ProcessStatement>,
}

impl From<Current> for AttemptReply {
    fn from(it: Current) -> AttemptReply {
        let outcome = match it.outcome {
            AttemptOutcome::RefusedByGate { error, retry_after } => {
                AttemptOutcome::RefusedByGate { error: known_error(error), retry_after }
            }
            outcome => outcome,
        };
        AttemptReply {
            outcome,
            headers: it.headers,
            load: it.load.into(),
            routes: it.routes,
            statement: it.statement,
        }
    }
}

impl From<AttemptReply> for Current {
    fn from(it: AttemptReply) -> Current {
        Current {
            outcome: it.outcome,
            headers: it.headers,
            load: it.load.into(),
            routes: it.routes,
            statement: it.statement,
        }
    }
}

use bincode::{Decode, Encode};
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply as Current, ProcessStatement, RouteVersion,
};

use super::GateLoad;

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
        AttemptReply {
            outcome: it.outcome,
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

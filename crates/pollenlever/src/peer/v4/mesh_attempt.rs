use std::time::Duration;

use bincode::{Decode, Encode};
use pollenlever_core::id::{AttemptId, ServiceName};
use pollenlever_core::mesh::{Lineage, MeshAttempt as Current, ProcessStatement, RequestId};

/// Head of an attempt; without its workspace.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) struct MeshAttempt {
    id: AttemptId,
    request_id: RequestId,
    service: ServiceName,
    caller: ServiceName,
    method: String,
    path: String,
    headers: Vec<(String, Vec<u8>)>,
    lineage: Lineage,
    is_idempotent: bool,
    time_left: Duration,
    max_wait: Duration,
    remembered: Option<ProcessStatement>,
}

impl From<Current> for MeshAttempt {
    fn from(it: Current) -> MeshAttempt {
        MeshAttempt {
            id: it.id,
            request_id: it.request_id,
            service: it.service,
            caller: it.caller,
            method: it.method,
            path: it.path,
            headers: it.headers,
            lineage: it.lineage,
            is_idempotent: it.is_idempotent,
            time_left: it.time_left,
            max_wait: it.max_wait,
            remembered: it.remembered,
        }
    }
}

impl From<MeshAttempt> for Current {
    fn from(it: MeshAttempt) -> Current {
        Current {
            id: it.id,
            request_id: it.request_id,
            service: it.service,
            caller: it.caller,
            method: it.method,
            path: it.path,
            headers: it.headers,
            lineage: it.lineage,
            workspace: None,
            is_idempotent: it.is_idempotent,
            time_left: it.time_left,
            max_wait: it.max_wait,
            remembered: it.remembered,
        }
    }
}

use std::collections::HashMap;

use super::{Lineage, RequestId};
use crate::Timestamp;
use crate::id::{ContentDigest, StreamId};

/// Separates the id of a request from what a call of it adds to it.
const CALL_SEPARATOR: char = '.';

/// A request that the target runs.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Id that its caller gave it.
    pub id: RequestId,
    /// Its place in its chain.
    pub lineage: Lineage,
    /// Time at which its caller or its route gives up.
    pub deadline: Timestamp,
    /// Identifies its content.
    pub digest: ContentDigest,
}

/// Requests that the target beside a gate runs now.
///
/// A call is told by its id, where ids are hierarchical: the id of a call is that of the request it
/// belongs to, a point, and a part of its own.
#[derive(Debug, Default)]
pub struct RunningRequests {
    runs: HashMap<StreamId, RunningRequest>,
    by_id: HashMap<RequestId, StreamId>,
}

impl RunningRequests {
    /// Notes the start of a run.
    pub fn insert(&mut self, stream: StreamId, run: RunningRequest) {
        self.by_id.insert(run.id.clone(), stream);
        self.runs.insert(stream, run);
    }

    /// Notes the end of a run. Returns whether it was known.
    pub fn remove(&mut self, stream: StreamId) -> bool {
        let Some(run) = self.runs.remove(&stream) else { return false };
        if self.by_id.get(&run.id) == Some(&stream) {
            self.by_id.remove(&run.id);
        }
        true
    }

    /// The request of which `id` is a call, if the target runs it now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::{Lineage, RunningRequest, RunningRequests};
    /// let lineage = Lineage::head("127.0.0.1:7101@1f~2a".parse().unwrap(), Importance::Critical);
    /// let deadline = Duration::from_secs(1);
    /// let mut running = RunningRequests::default();
    /// running.insert(7, RunningRequest { id: "9c41".into(), lineage, deadline, digest: 1 });
    /// assert_eq!(running.parent_of("9c41.07be").unwrap().lineage, lineage);
    /// assert!(running.parent_of("9c42.07be").is_none());
    /// assert!(running.parent_of("9c41").is_none());
    /// ```
    pub fn parent_of(&self, id: &str) -> Option<&RunningRequest> {
        let (parent, _) = id.rsplit_once(CALL_SEPARATOR)?;
        self.runs.get(self.by_id.get(parent)?)
    }

    /// Content of the requests that run.
    pub fn digests(&self) -> impl Iterator<Item = ContentDigest> {
        self.runs.values().map(|it| it.digest)
    }

    /// Latest deadline of a run.
    pub fn last_deadline(&self) -> Option<Timestamp> {
        self.runs.values().map(|it| it.deadline).max()
    }

    /// Chance that a run is a repeat, on average.
    pub fn repeat_share(&self) -> f32 {
        let repeats: f32 = self.runs.values().map(|it| it.lineage.repeat).sum();
        repeats / self.runs.len().max(1) as f32
    }
}

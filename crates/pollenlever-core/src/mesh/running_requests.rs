use std::collections::{BTreeMap, HashMap};

use super::{Lineage, RequestId};
use crate::Timestamp;
use crate::id::{ContentDigest, ServiceName, StreamId, WorkspaceName};

/// Separates the id of a request from the suffix that identifies a call made in its course.
const CALL_SEPARATOR: char = '.';

/// A request that the target is running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRequest {
    /// Id that the caller gave to the request.
    pub id: RequestId,
    /// Workspace on whose behalf the chain of calls runs; `None` if it is not known.
    pub workspace: Option<WorkspaceName>,
    /// Position of the request in its chain of calls.
    pub lineage: Lineage,
    /// Deadline set by the caller or the route, whichever is earlier.
    pub deadline: Timestamp,
    /// Digest of the request's content.
    pub digest: ContentDigest,
    /// Number of calls that the run has made so far, by the called service.
    pub calls: BTreeMap<ServiceName, u32>,
}

/// Requests that are running on the target beside a gate.
///
/// Where request ids are hierarchical, they show which request a call belongs to: the id of a call
/// is the id of its parent request, a dot and a suffix of its own.
#[derive(Debug, Default)]
pub struct RunningRequests {
    runs: HashMap<StreamId, RunningRequest>,
    by_id: HashMap<RequestId, StreamId>,
}

impl RunningRequests {
    /// Records that the target started to run a request.
    pub fn insert(&mut self, stream: StreamId, run: RunningRequest) {
        self.by_id.insert(run.id.clone(), stream);
        self.runs.insert(stream, run);
    }

    /// Removes a run that ended; `None` if it was not known.
    pub fn remove(&mut self, stream: StreamId) -> Option<RunningRequest> {
        let run = self.runs.remove(&stream)?;
        if self.by_id.get(&run.id) == Some(&stream) {
            self.by_id.remove(&run.id);
        }
        Some(run)
    }

    /// Counts a call to `service` for the request of which `id` is a call, if that is running.
    pub fn record_call(&mut self, id: &str, service: &ServiceName) {
        let Some(stream) = self.stream_of_parent(id) else { return };
        if let Some(run) = self.runs.get_mut(&stream) {
            *run.calls.entry(service.clone()).or_default() += 1;
        }
    }

    /// The request of which `id` is a call, if it is running on the target.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::{Lineage, RunningRequest, RunningRequests};
    /// let lineage = Lineage::root("127.0.0.1:7101@1f~2a".parse().unwrap(), Importance::Critical);
    /// let deadline = Duration::from_secs(1);
    /// let mut running = RunningRequests::default();
    /// let (id, calls) = ("9c41".into(), Default::default());
    /// let run = RunningRequest { id, workspace: None, lineage, deadline, digest: 1, calls };
    /// running.insert(7, run);
    /// assert_eq!(running.parent_of("9c41.07be").unwrap().lineage, lineage);
    /// assert!(running.parent_of("9c42.07be").is_none());
    /// assert!(running.parent_of("9c41").is_none());
    /// ```
    pub fn parent_of(&self, id: &str) -> Option<&RunningRequest> {
        self.runs.get(&self.stream_of_parent(id)?)
    }

    /// Whether `id` has the form of the id of a call.
    ///
    /// ```
    /// use pollenlever_core::mesh::RunningRequests;
    /// assert!(RunningRequests::is_call_id("9c41.07be"));
    /// assert!(!RunningRequests::is_call_id("9c41"));
    /// ```
    pub fn is_call_id(id: &str) -> bool {
        id.contains(CALL_SEPARATOR)
    }

    /// Content digests of the running requests.
    pub fn digests(&self) -> impl Iterator<Item = ContentDigest> {
        self.runs.values().map(|it| it.digest)
    }

    /// Latest deadline of the running requests; `None` if there are none.
    pub fn last_deadline(&self) -> Option<Timestamp> {
        self.runs.values().map(|it| it.deadline).max()
    }

    /// Average probability that a running request repeats an earlier one; 0 if there are none.
    pub fn mean_repeat_probability(&self) -> f32 {
        let probabilities: f32 = self.runs.values().map(|it| it.lineage.repeat).sum();
        probabilities / self.runs.len().max(1) as f32
    }

    /// The run of which `id` is a call, if it is running on the target.
    pub fn stream_of_parent(&self, id: &str) -> Option<StreamId> {
        let (parent, _) = id.rsplit_once(CALL_SEPARATOR)?;
        self.by_id.get(parent).copied()
    }
}

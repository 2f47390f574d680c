use super::{InstanceId, ProcessStatement, StartTime, TargetStatement};

/// The latest statement of the target beside a node.
///
/// It is read from the target's answers. Until this node has read one, as after a restart, it is
/// what other nodes remember.
#[derive(Debug, Default)]
pub struct LatestStatement {
    latest: Option<ProcessStatement>,
    /// Whether this node itself read it from an answer.
    is_own: bool,
}

impl LatestStatement {
    /// Records the statement of an answer that this node read. Returns the earlier statement of the
    /// process if it differs.
    ///
    /// ```
    /// use pollenlever_core::mesh::{LatestStatement, ProcessStatement, TargetStatement};
    /// let of = |rate_limit| {
    ///     let statement = TargetStatement { rate_limit, is_leaving: false };
    ///     ProcessStatement { instance: "i-1".into(), started: 5, statement }
    /// };
    /// let mut latest = LatestStatement::default();
    /// assert_eq!(latest.record(of(None)), None);
    /// assert_eq!(latest.record(of(Some(5.1))), Some(of(None).statement));
    /// assert_eq!(latest.record(of(Some(5.1))), None);
    /// assert_eq!(latest.get(&"i-1".into(), 5).rate_limit, Some(5.1));
    /// assert_eq!(latest.get(&"i-2".into(), 9).rate_limit, None);
    /// ```
    pub fn record(&mut self, stated: ProcessStatement) -> Option<TargetStatement> {
        self.is_own = true;
        self.replace(stated)
    }

    /// Merges what another node remembers, unless this node has read an answer of the process
    /// itself. Of several such statements the strictest counts, since their order is not known.
    /// Returns the earlier statement of the process if it changes.
    ///
    /// ```
    /// use pollenlever_core::mesh::{LatestStatement, ProcessStatement, TargetStatement};
    /// let of = |rate_limit| {
    ///     let statement = TargetStatement { rate_limit, is_leaving: false };
    ///     ProcessStatement { instance: "i-1".into(), started: 5, statement }
    /// };
    /// let mut latest = LatestStatement::default();
    /// assert!(latest.merge_remembered(&of(Some(5.1))).is_some());
    /// assert!(latest.merge_remembered(&of(Some(20.0))).is_none());
    /// assert_eq!(latest.get(&"i-1".into(), 5).rate_limit, Some(5.1));
    /// latest.record(of(None));
    /// assert!(latest.merge_remembered(&of(Some(5.1))).is_none());
    /// ```
    pub fn merge_remembered(&mut self, remembered: &ProcessStatement) -> Option<TargetStatement> {
        let ProcessStatement { instance, started, statement } = remembered;
        let is_of_process = self.latest.as_ref().is_some_and(|it| it.is_of(instance, *started));
        if is_of_process && self.is_own {
            return None;
        }
        self.is_own = false;
        let statement = self.get(instance, *started).strictest(*statement);
        self.replace(ProcessStatement { instance: instance.clone(), started: *started, statement })
    }

    /// The latest statement of this process of the target; states nothing if it is not known.
    pub fn get(&self, instance: &InstanceId, started: StartTime) -> TargetStatement {
        let latest = self.latest.as_ref().filter(|it| it.is_of(instance, started));
        latest.map_or_else(TargetStatement::default, |it| it.statement)
    }

    /// The latest statement that this node has read from an answer of the target, for other nodes
    /// to remember.
    pub fn own(&self) -> Option<&ProcessStatement> {
        self.latest.as_ref().filter(|_| self.is_own)
    }

    fn replace(&mut self, stated: ProcessStatement) -> Option<TargetStatement> {
        let before = self.get(&stated.instance, stated.started);
        let changed = (before != stated.statement).then_some(before);
        self.latest = Some(stated);
        changed
    }
}

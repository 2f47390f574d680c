use super::{InstanceId, ProcessStatement, StartTime, TargetStatement};

/// The latest statement of the target beside a node.
#[derive(Debug, Default)]
pub struct LatestStatement {
    latest: Option<ProcessStatement>,
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
    pub fn record(&mut self, said: ProcessStatement) -> Option<TargetStatement> {
        let before = self.get(&said.instance, said.started);
        let changed = (before != said.statement).then_some(before);
        self.latest = Some(said);
        changed
    }

    /// The latest statement of this process of the target; states nothing if it is not known.
    pub fn get(&self, instance: &InstanceId, started: StartTime) -> TargetStatement {
        let latest = self.latest.as_ref().filter(|it| it.is_of(instance, started));
        latest.map_or_else(TargetStatement::default, |it| it.statement)
    }
}

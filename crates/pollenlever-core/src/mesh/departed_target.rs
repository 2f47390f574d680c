use bincode::{Decode, Encode};

use super::{InstanceId, StartTime, TargetReport};

/// A target that has left: all processes of an instance that started until some time.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DepartedTarget {
    /// Instance name that the target chose at its start.
    pub instance: InstanceId,
    /// Latest start that is meant.
    pub started: StartTime,
}

impl DepartedTarget {
    /// Whether a report comes from a process that has left.
    ///
    /// ```
    /// use pollenlever_core::mesh::{DepartedTarget, TargetReport};
    /// # use std::time::Duration;
    /// # let (service, slots, is_draining) = ("card".into(), 4, false);
    /// # let cold_remaining = Duration::ZERO;
    /// let departed = DepartedTarget { instance: "i-1".into(), started: 5 };
    /// let instance = "i-1".into();
    /// # let report = TargetReport { instance, started: 5, sequence: 3, service, slots, is_draining, cold_remaining };
    /// assert!(departed.includes(&report));
    /// assert!(!departed.includes(&TargetReport { started: 6, ..report }));
    /// ```
    pub fn includes(&self, report: &TargetReport) -> bool {
        self.instance == report.instance && report.started <= self.started
    }
}

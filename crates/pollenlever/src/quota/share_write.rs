use pollenlever_core::quota::ShareTable;

use crate::store::Revision;

/// Why the share table is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ShareAction {
    /// There is no table.
    Create,
    /// This process takes its entry back from an earlier one.
    Confirm,
    /// This node gives units to others.
    Give,
    /// This node leaves.
    HandBack,
    /// This node takes over the units of one that is gone.
    Reclaim,
}

impl ShareAction {
    /// Name of the action in log lines.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ShareAction::Create => "create",
            ShareAction::Confirm => "confirm",
            ShareAction::Give => "give",
            ShareAction::HandBack => "hand-back",
            ShareAction::Reclaim => "reclaim",
        }
    }
}

/// A conditional write of the share table.
#[derive(Debug, Clone)]
pub(super) struct ShareWrite {
    pub(super) action: ShareAction,
    /// Revision of the table that is replaced.
    pub(super) expected: Revision,
    /// The table to write.
    pub(super) table: ShareTable,
}

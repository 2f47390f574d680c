use super::answer_statement::AnswerStatement;
use super::target_result::TargetResult;

/// A run on the target beside the node that has ended.
#[derive(Debug)]
pub(super) struct TargetRun {
    /// How it ended.
    pub(super) result: TargetResult,
    /// What the target stated in its answer; `None` if there is no answer to this request.
    pub(super) statement: Option<AnswerStatement>,
}

impl From<TargetResult> for TargetRun {
    fn from(result: TargetResult) -> TargetRun {
        TargetRun { result, statement: None }
    }
}

use http::HeaderMap;

use super::HeaderNames;
use super::stated_rate::StatedRate;

/// What the headers of an answer state about its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AnswerStatement {
    pub(super) rate_limit: StatedRate,
    /// Whether the target is shutting down.
    pub(super) is_leaving: bool,
}

impl AnswerStatement {
    pub(super) fn read(names: &HeaderNames, headers: &HeaderMap) -> AnswerStatement {
        AnswerStatement {
            rate_limit: StatedRate::read(headers.get(&names.rate_limit)),
            is_leaving: headers.contains_key(&names.leaving),
        }
    }
}

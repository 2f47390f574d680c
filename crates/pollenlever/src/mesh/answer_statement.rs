use std::time::Instant;

use http::{HeaderMap, HeaderValue};
use pollenlever_core::mesh::{ReportedLoad, ReportedLoadError};

use super::HeaderNames;
use super::stated_rate::StatedRate;

/// What the headers of an answer state about its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct AnswerStatement {
    pub(super) rate_limit: StatedRate,
    /// Whether the target is shutting down.
    pub(super) is_leaving: bool,
    /// Load that the target reports, if the answer has the header.
    pub(super) load: Option<Result<ReportedLoad, ReportedLoadError>>,
    /// When the headers were read; the body may take longer.
    pub(super) read_at: Instant,
}

impl AnswerStatement {
    /// Reads the headers of an answer to a request that the target ran or rejected. A rejection may
    /// state a rate, but without one it does not withdraw the rate of earlier answers.
    pub(super) fn read(names: &HeaderNames, headers: &HeaderMap) -> AnswerStatement {
        let is_rejection = headers.contains_key(&names.not_run);
        let rate_limit = match StatedRate::read(headers.get(&names.rate_limit)) {
            StatedRate::Absent if is_rejection => StatedRate::Unchanged,
            stated => stated,
        };
        let is_leaving = headers.contains_key(&names.leaving);
        let load = headers.get(&names.load).map(read_load);
        AnswerStatement { rate_limit, is_leaving, load, read_at: Instant::now() }
    }

    /// Whether the answer leaves open what the target states, as a rejection may.
    pub(super) fn says_nothing(&self) -> bool {
        self.rate_limit == StatedRate::Unchanged && !self.is_leaving
    }
}

fn read_load(value: &HeaderValue) -> Result<ReportedLoad, ReportedLoadError> {
    value.to_str().map_err(|_| ReportedLoadError::NotText)?.parse()
}

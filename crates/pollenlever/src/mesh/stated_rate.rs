use http::HeaderValue;
use pollenlever_core::mesh::RequestsPerSecond;

/// Rate limit in the headers of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum StatedRate {
    /// The answer states none.
    Absent,
    /// The target takes this many requests a second from all nodes together.
    Limited(RequestsPerSecond),
    /// The answer says nothing that counts, such as a rate that is not a decimal number of at least
    /// 0; what earlier answers state stays.
    Unchanged,
}

impl StatedRate {
    /// Reads the value of the header, if the answer has it.
    pub(super) fn read(value: Option<&HeaderValue>) -> StatedRate {
        let Some(value) = value else { return StatedRate::Absent };
        let number = value.to_str().ok().and_then(|it| it.trim().parse().ok());
        let limit = number.filter(|it: &RequestsPerSecond| it.is_finite() && *it >= 0.0);
        limit.map_or(StatedRate::Unchanged, StatedRate::Limited)
    }
}

use http::HeaderName;

/// Names of the headers that a node reads from callers and targets, and sets itself.
///
/// ```
/// use pollenlever::mesh::HeaderNames;
/// assert_eq!(HeaderNames::default().request_id, "pollenlever-request-id");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id that a caller gives to one attempt of its own; targets echo it.
    pub request_id: HeaderName,
    /// Time that a caller waits or a target may take, in whole milliseconds.
    pub deadline_ms: HeaderName,
    /// Target that alone may run the request.
    pub expected_instance: HeaderName,
    /// Service beside the node at which the request began.
    pub caller_service: HeaderName,
    /// Proof of a target that the answer is its own.
    pub answer_proof: HeaderName,
    /// Present if the target did not run the request.
    pub not_run: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request_id: HeaderName::from_static("pollenlever-request-id"),
            deadline_ms: HeaderName::from_static("pollenlever-deadline-ms"),
            expected_instance: HeaderName::from_static("pollenlever-instance"),
            caller_service: HeaderName::from_static("pollenlever-caller"),
            answer_proof: HeaderName::from_static("pollenlever-proof"),
            not_run: HeaderName::from_static("pollenlever-not-run"),
        }
    }
}

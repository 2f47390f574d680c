use http::HeaderName;
use http::header::AUTHORIZATION;

/// Names of the headers that a node reads from callers and targets (the server processes beside
/// nodes), and those that it sets.
///
/// ```
/// use pollenlever::mesh::HeaderNames;
/// assert_eq!(HeaderNames::default().request_id, "pollenlever-request-id");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderNames {
    /// Id that the caller gives to one attempt; targets echo it in the answer.
    pub request_id: HeaderName,
    /// Time for which the caller waits, or which the target may take, in whole milliseconds.
    pub deadline_ms: HeaderName,
    /// Instance of the target that the request is meant for; any other must refuse it.
    pub expected_instance: HeaderName,
    /// Service of the node at which the request entered the mesh.
    pub caller_service: HeaderName,
    /// Holds the API key of a caller's request, after the scheme `key_scheme`.
    pub authorization: HeaderName,
    /// Authentication scheme of API keys.
    pub key_scheme: &'static str,
    /// Workspace of the caller, for the target; set by the node.
    pub workspace: HeaderName,
    /// Set by a target to prove that it produced the answer.
    pub proof_header: HeaderName,
    /// Present in an answer if the target did not run the request.
    pub not_run: HeaderName,
    /// Set by a target to state how many requests a second it takes from all nodes together, as a
    /// decimal number.
    pub rate_limit: HeaderName,
    /// Load that a target reports: running and waiting requests and slots, then, if it knows it, how
    /// long work takes at present in percent of the usual time, separated by commas.
    pub load: HeaderName,
    /// Present in an answer if the target is shutting down.
    pub leaving: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> HeaderNames {
        HeaderNames {
            request_id: HeaderName::from_static("pollenlever-request-id"),
            deadline_ms: HeaderName::from_static("pollenlever-deadline-ms"),
            expected_instance: HeaderName::from_static("pollenlever-instance"),
            caller_service: HeaderName::from_static("pollenlever-caller"),
            authorization: AUTHORIZATION,
            key_scheme: "Bearer",
            workspace: HeaderName::from_static("pollenlever-workspace"),
            proof_header: HeaderName::from_static("pollenlever-proof"),
            not_run: HeaderName::from_static("pollenlever-not-run"),
            rate_limit: HeaderName::from_static("pollenlever-rate-limit"),
            load: HeaderName::from_static("pollenlever-load"),
            leaving: HeaderName::from_static("pollenlever-leaving"),
        }
    }
}

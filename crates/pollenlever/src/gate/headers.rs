/// Headers that apply to a single connection (hop-by-hop) or that the HTTP library sets itself for
/// each message.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers that the node reads and writes itself.
const POLLENLEVER_PREFIX: &str = "pollenlever-";

/// Whether a header is forwarded between caller and target. `name` must be in lower case.
///
/// ```
/// use pollenlever::gate::is_end_to_end;
/// assert!(is_end_to_end("content-type"));
/// assert!(!is_end_to_end("transfer-encoding"));
/// assert!(!is_end_to_end("pollenlever-key"));
/// ```
pub fn is_end_to_end(name: &str) -> bool {
    !NOT_FORWARDED.contains(&name) && !name.starts_with(POLLENLEVER_PREFIX)
}

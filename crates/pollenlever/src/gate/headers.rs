/// Headers that belong to one connection or are set anew for the next.
const HOP_BY_HOP: [&str; 12] = [
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

/// Prefix of the headers that pollenlever itself reads and writes.
const OWN_PREFIX: &str = "pollenlever-";

/// Whether a header is passed on between caller and target. `name` is in lower case.
///
/// ```
/// use pollenlever::gate::is_end_to_end;
/// assert!(is_end_to_end("content-type"));
/// assert!(!is_end_to_end("transfer-encoding"));
/// assert!(!is_end_to_end("pollenlever-key"));
/// ```
pub fn is_end_to_end(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name) && !name.starts_with(OWN_PREFIX)
}

/// Prefix of the paths of calls.
const PREFIX: &str = "/call/";

/// A path of the form `/call/<service>/<path>?<query>`.
///
/// ```
/// use pollenlever::entry::CallPath;
/// let path = CallPath::parse("/call/balance/students/7?fresh=1").unwrap();
/// assert_eq!(path.service, "balance");
/// assert_eq!(path.path, "/students/7?fresh=1");
/// assert_eq!(CallPath::parse("/call/balance/a/%2e%2E/b"), None);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPath<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Path and query for the target, with a leading slash.
    pub path: &'a str,
}

impl<'a> CallPath<'a> {
    /// Splits a path. `None` for another form and for dot segments, which the target could read as
    /// another path than the one that was matched.
    pub fn parse(uri: &'a str) -> Option<CallPath<'a>> {
        let rest = uri.strip_prefix(PREFIX)?;
        let end = rest.find('/')?;
        let (service, path) = rest.split_at(end);
        let segments = path.split('?').next()?;
        let is_plain = !service.is_empty()
            && !service.contains(['?', '%'])
            && !segments.contains('\\')
            && !segments.split('/').any(is_dot_segment);
        is_plain.then_some(CallPath { service, path })
    }
}

fn is_dot_segment(segment: &str) -> bool {
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

/// Prefix of the path of every call.
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
    /// Splits a path. `None` if it has another form, or if it contains a backslash or a dot
    /// segment, which the target could resolve to another path than the one that request kinds are
    /// matched against.
    pub fn parse(uri: &'a str) -> Option<CallPath<'a>> {
        let rest = uri.strip_prefix(PREFIX)?;
        let end = rest.find('/')?;
        let (service, path) = rest.split_at(end);
        let path_part = path.split('?').next()?;
        let is_valid = !service.is_empty()
            && !service.contains(['?', '%'])
            && !path_part.contains('\\')
            && !path_part.split('/').any(is_dot_segment);
        is_valid.then_some(CallPath { service, path })
    }
}

fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

use bincode::{Decode, Encode};

/// A path pattern: `*` matches one non-empty segment, a final `**` matches any remaining path.
///
/// ```
/// use pollenlever_core::config::PathPattern;
/// let pattern = PathPattern::from("/students/*/balance");
/// assert!(pattern.matches("/students/42/balance"));
/// assert!(!pattern.matches("/students/42/history"));
/// assert!(PathPattern::from("/jobs/**").matches("/jobs/1/pages"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct PathPattern(String);

impl PathPattern {
    /// The pattern as declared.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the pattern matches `path`; a query after `?` is ignored.
    pub fn matches(&self, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let mut segments = path.split('/');
        for expected in self.0.split('/') {
            if expected == "**" {
                return true;
            }
            match segments.next() {
                Some(found) if expected == "*" && !found.is_empty() => {}
                Some(found) if expected == found => {}
                _ => return false,
            }
        }
        segments.next().is_none()
    }
}

impl From<&str> for PathPattern {
    fn from(text: &str) -> PathPattern {
        PathPattern(text.to_owned())
    }
}

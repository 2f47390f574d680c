use pollenlever_core::config::{PathPattern, RequestKind};

/// Whether `earlier` matches every request that `later` matches. A kind whose method or path is empty
/// was already reported as invalid and shadows nothing.
pub(super) fn shadows(earlier: &RequestKind, later: &RequestKind) -> bool {
    let is_complete = |it: &RequestKind| !it.method.is_empty() && !it.path.as_str().is_empty();
    is_complete(earlier)
        && is_complete(later)
        && earlier.method == later.method
        && covers(&earlier.path, &later.path)
}

/// Whether `wide` matches every path that `narrow` matches.
fn covers(wide: &PathPattern, narrow: &PathPattern) -> bool {
    let mut narrow_segments = narrow.as_str().split('/');
    for wide_segment in wide.as_str().split('/') {
        if wide_segment == "**" {
            return true;
        }
        match narrow_segments.next() {
            Some("**") | None => return false,
            Some(it) if wide_segment == "*" && !it.is_empty() => {}
            Some(it) if wide_segment == it => {}
            Some(_) => return false,
        }
    }
    narrow_segments.next().is_none()
}

use pollenlever_core::config::{PathPattern, RequestKind};

/// Whether every request of `later` is already taken by `earlier`. A kind without a method or path,
/// whose fault is reported already, shadows nothing.
pub(super) fn shadows(earlier: &RequestKind, later: &RequestKind) -> bool {
    let whole = |it: &RequestKind| !it.method.is_empty() && !it.path.as_str().is_empty();
    whole(earlier)
        && whole(later)
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

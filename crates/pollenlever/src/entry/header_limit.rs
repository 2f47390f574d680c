use rocket::http::HeaderMap;

/// Whether the names and values of the headers take at most `limit_bytes` together.
pub(super) fn is_within_header_limit(headers: &HeaderMap<'_>, limit_bytes: usize) -> bool {
    let sizes = headers.iter().map(|it| it.name().as_str().len() + it.value().len());
    sizes.sum::<usize>() <= limit_bytes
}

use rocket::http::HeaderMap;

/// Whether names and values of the headers together are within `limit` bytes.
pub(super) fn are_headers_within(headers: &HeaderMap<'_>, limit: usize) -> bool {
    let sizes = headers.iter().map(|it| it.name().as_str().len() + it.value().len());
    sizes.sum::<usize>() <= limit
}

use http::{HeaderMap, HeaderName, HeaderValue};

/// HTTP/2 header in which nodes tell each other their build, on the first stream of a connection.
const BUILD_HEADER: HeaderName = HeaderName::from_static("pollenlever-build");

/// Build of this program, as shown to operators: the text of the environment variable
/// `POLLENLEVER_BUILD` at compile time, or else the version of the package.
///
/// ```
/// assert!(!pollenlever::peer::own_build().is_empty());
/// ```
pub fn own_build() -> &'static str {
    option_env!("POLLENLEVER_BUILD").unwrap_or(env!("CARGO_PKG_VERSION"))
}

/// Adds the build of this program to the headers of a message.
pub(super) fn add_own_build(headers: &mut HeaderMap) {
    match HeaderValue::from_str(own_build()) {
        Ok(build) => drop(headers.insert(BUILD_HEADER, build)),
        Err(err) => log::debug!("the build is no header value reason={:?}", err.to_string()),
    }
}

/// The build that a peer tells in the headers of a message.
pub(super) fn read_build(headers: &HeaderMap) -> Option<&str> {
    headers.get(BUILD_HEADER)?.to_str().ok()
}

use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// Headers that apply to a single connection, in addition to those that `Connection` names.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Headers of a message that are forwarded, in the form in which nodes send them to each other.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named = named_by_connection(headers);
    let kept = headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP.contains(&name.as_str()) && !named.iter().any(|it| it == name.as_str())
    });
    kept.map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec())).collect()
}

/// Appends headers received from another node; invalid ones are left out.
pub(super) fn append_headers(map: &mut HeaderMap, headers: &[(String, Vec<u8>)]) {
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                map.append(name, value);
            }
            _ => log::warn!("header dropped reason=\"not a valid header\""),
        }
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|it| it.to_str().ok());
    values.flat_map(|it| it.split(',')).map(|it| it.trim().to_ascii_lowercase()).collect()
}

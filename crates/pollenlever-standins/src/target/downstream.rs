use std::str::FromStr;

/// A downstream call that a target makes while it serves a request.
///
/// ```
/// use pollenlever_standins::target::DownstreamCall;
/// let call: DownstreamCall = "POST ledger/book".parse().unwrap();
/// assert_eq!((call.method.as_str(), call.path.as_str()), ("POST", "ledger/book"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DownstreamCall {
    /// HTTP method.
    pub method: String,
    /// Service and path, without a query.
    pub path: String,
}

impl FromStr for DownstreamCall {
    type Err = String;

    fn from_str(text: &str) -> Result<DownstreamCall, String> {
        match text.split_once(' ') {
            Some((method, path)) => {
                Ok(DownstreamCall { method: method.to_owned(), path: path.to_owned() })
            }
            None => Err(format!("`{text}`: expected `METHOD service/path`")),
        }
    }
}

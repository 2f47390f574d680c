/// A call to a service through a node.
///
/// ```
/// use pollenlever_standins::caller::Call;
/// let call = Call { path: "balance/check?id=1", ..Call::default() };
/// assert_eq!(call.method, "GET");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Service, path and query, such as `balance/check?id=1`.
    pub path: &'a str,
    /// Key of a request that must run at most once, from
    /// [`Caller::take_key`](super::Caller::take_key).
    pub key: Option<&'a str>,
    /// Chain (id by which nodes limit the retries of related calls) from an earlier answer; set on
    /// a resend.
    pub chain: Option<&'a str>,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Call { method: "GET", path: "", key: None, chain: None }
    }
}

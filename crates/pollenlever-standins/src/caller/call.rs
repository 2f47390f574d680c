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
    /// [`Caller::fetch_key`](super::Caller::fetch_key).
    pub key: Option<&'a str>,
    /// Id of the chain of related calls, by which nodes limit retries; a resend repeats the one
    /// from the earlier answer.
    pub chain_id: Option<&'a str>,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Call { method: "GET", path: "", key: None, chain_id: None }
    }
}

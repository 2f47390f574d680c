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
    /// Service and path.
    pub path: &'a str,
    /// Request key, for a request that may run at most once.
    pub key: Option<&'a str>,
    /// Chain of an earlier answer, for a resend.
    pub chain: Option<&'a str>,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Call { method: "GET", path: "", key: None, chain: None }
    }
}

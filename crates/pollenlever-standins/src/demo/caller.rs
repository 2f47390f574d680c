use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use thiserror::Error;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A request that got no HTTP answer.
#[derive(Debug, Error)]
#[error("no answer: {0}")]
pub struct CallerError(#[from] reqwest::Error);

/// Answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Whole body.
    pub text: String,
}

/// A caller that waits for each answer.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::blocking::Client,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

impl Caller {
    /// A caller with its own connections.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the HTTP client cannot be made.
    pub fn new() -> Result<Caller, CallerError> {
        let client = reqwest::blocking::Client::builder().timeout(TIMEOUT).no_proxy().build()?;
        Ok(Caller { client })
    }

    /// Takes a request key from a node.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the node does not give one.
    pub fn take_key(&self, node: SocketAddr) -> Result<Option<String>, CallerError> {
        let url = format!("http://{node}/pollenlever/v1/keys");
        let res = self.client.post(url).json(&json!({"count": 1})).send()?.error_for_status()?;
        Ok(res.json::<Keys>()?.keys.pop())
    }

    /// Calls a service through a node; `path` begins with the service.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if no HTTP answer comes.
    pub fn call(
        &self,
        node: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Reply, CallerError> {
        let url = format!("http://{node}/call/{path}");
        let method = method.parse().unwrap_or(reqwest::Method::GET);
        let mut req = self.client.request(method, url);
        if let Some(key) = key {
            req = req.header("pollenlever-key", key);
        }
        let res = req.send()?;
        let status = res.status().as_u16();
        let outcome = res.headers().get("pollenlever-outcome").and_then(|it| it.to_str().ok());
        let outcome = outcome.unwrap_or_default().to_owned();
        Ok(Reply { status, outcome, text: res.text()? })
    }
}

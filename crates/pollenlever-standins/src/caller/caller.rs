use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use thiserror::Error;

use super::{Call, Reply};

/// A request that failed without a complete HTTP answer.
#[derive(Debug, Error)]
#[error("HTTP request failed: {0}")]
pub struct CallerError(#[from] reqwest::Error);

/// A blocking caller with its own connection pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::blocking::Client,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for each answer.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the HTTP client cannot be created.
    pub fn new(timeout: Duration) -> Result<Caller, CallerError> {
        let client = reqwest::blocking::Client::builder().timeout(timeout).no_proxy().build()?;
        Ok(Caller { client })
    }

    /// Fetches a new request key from a node; `None` if the node returns an empty list.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the node does not answer with a list of keys.
    pub fn fetch_key(&self, node: SocketAddr) -> Result<Option<String>, CallerError> {
        let url = format!("http://{node}/pollenlever/v1/keys");
        let res = self.client.post(url).json(&json!({"count": 1})).send()?.error_for_status()?;
        Ok(res.json::<Keys>()?.keys.pop())
    }

    /// Calls a service through a node.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the HTTP answer does not arrive completely.
    pub fn call(&self, node: SocketAddr, call: &Call<'_>) -> Result<Reply, CallerError> {
        let url = format!("http://{node}/call/{}", call.path);
        let method = call.method.parse().unwrap_or(reqwest::Method::GET);
        let mut req = self.client.request(method, url);
        for (name, value) in [("pollenlever-key", call.key), ("pollenlever-chain", call.chain_id)] {
            if let Some(value) = value {
                req = req.header(name, value);
            }
        }
        let res = req.send()?;
        let status = res.status().as_u16();
        let header = |name| res.headers().get(name)?.to_str().ok().map(str::to_owned);
        let outcome = header("pollenlever-outcome").unwrap_or_default();
        let chain_id = header("pollenlever-chain");
        Ok(Reply { status, outcome, chain_id, text: res.text()? })
    }
}

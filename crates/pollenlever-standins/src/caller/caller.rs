use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use thiserror::Error;

use super::{Call, Reply};

/// A request that got no HTTP answer.
#[derive(Debug, Error)]
#[error("no answer: {0}")]
pub struct CallerError(#[from] reqwest::Error);

/// A caller with connections of its own.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::blocking::Client,
}

#[derive(Deserialize)]
struct Keys {
    keys: Vec<String>,
}

impl Caller {
    /// A caller that waits at most `timeout` for each answer.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if the HTTP client cannot be made.
    pub fn new(timeout: Duration) -> Result<Caller, CallerError> {
        let client = reqwest::blocking::Client::builder().timeout(timeout).no_proxy().build()?;
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

    /// Calls a service through a node.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if no whole HTTP answer comes.
    pub fn call(&self, node: SocketAddr, call: &Call<'_>) -> Result<Reply, CallerError> {
        let url = format!("http://{node}/call/{}", call.path);
        let method = call.method.parse().unwrap_or(reqwest::Method::GET);
        let mut req = self.client.request(method, url);
        for (name, value) in [("pollenlever-key", call.key), ("pollenlever-chain", call.chain)] {
            if let Some(value) = value {
                req = req.header(name, value);
            }
        }
        let res = req.send()?;
        let status = res.status().as_u16();
        let header = |name| res.headers().get(name)?.to_str().ok().map(str::to_owned);
        let outcome = header("pollenlever-outcome").unwrap_or_default();
        let chain = header("pollenlever-chain");
        Ok(Reply { status, outcome, chain, text: res.text()? })
    }
}

use std::error::Error;
use std::fmt::Display;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::blocking::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::NodeError;
use crate::control::ControlStatus;
use crate::telemetry::NodeBurn;
use crate::tool::ToolError;

/// Largest answer that is read; a status of all members stays well below.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Client of the HTTP interface that nodes offer to operators.
#[derive(Debug, Clone)]
pub struct NodeClient {
    http: Client,
}

#[derive(Serialize)]
struct TakeKeys {
    count: u32,
}

#[derive(Deserialize)]
struct TakenKeys {
    keys: Vec<String>,
}

impl NodeClient {
    /// Makes a client that waits at most `timeout` for an answer.
    ///
    /// # Errors
    ///
    /// [`ToolError::Start`] if the HTTP library cannot start.
    pub fn new(timeout: Duration) -> Result<NodeClient, ToolError> {
        let http = Client::builder().timeout(timeout).no_proxy().build();
        Ok(NodeClient { http: http.map_err(|err| ToolError::Start(err.to_string()))? })
    }

    /// Members and configurations as a node sees them.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node does not answer.
    pub fn status(&self, addr: impl Display + Copy) -> Result<ControlStatus, NodeError> {
        self.get(addr, "status")
    }

    /// State and configurations of one node; it may leave out the other members.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node does not answer.
    pub fn own_status(&self, addr: &str) -> Result<ControlStatus, NodeError> {
        self.get(addr, "status?members=false")
    }

    /// Windowed counts of a node.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node does not answer.
    pub fn burn(&self, addr: &str) -> Result<NodeBurn, NodeError> {
        self.get(addr, "burn")
    }

    /// Tells a node that its target is leaving.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node does not answer.
    pub fn leave_target(&self, addr: SocketAddr) -> Result<(), NodeError> {
        let url = url(addr, "target/leave");
        send(addr, self.http.post(url)).map(drop)
    }

    /// Takes request keys from a node.
    ///
    /// # Errors
    ///
    /// [`NodeError`] if the node does not answer.
    pub fn take_keys(&self, addr: SocketAddr, count: u32) -> Result<Vec<String>, NodeError> {
        let req = self.http.post(url(addr, "keys")).json(&TakeKeys { count });
        let taken: TakenKeys = decode(addr, &send(addr, req)?)?;
        Ok(taken.keys)
    }

    fn get<T: DeserializeOwned>(
        &self,
        addr: impl Display + Copy,
        path: &str,
    ) -> Result<T, NodeError> {
        let buf = send(addr, self.http.get(url(addr, path)))?;
        decode(addr, &buf)
    }
}

fn url(addr: impl Display, path: &str) -> String {
    format!("http://{addr}/pollenlever/v1/{path}")
}

fn send(addr: impl Display, req: RequestBuilder) -> Result<Vec<u8>, NodeError> {
    let err = |err: &dyn Error| NodeError { node: addr.to_string(), reason: innermost(err) };
    let response = req.send().map_err(|it| err(&it))?;
    let status = response.status();
    let mut buf = Vec::new();
    response.take(MAX_ANSWER_BYTES).read_to_end(&mut buf).map_err(|it| err(&it))?;
    if status.is_success() {
        return Ok(buf);
    }
    let reason = format!("{status}: {}", String::from_utf8_lossy(&buf));
    Err(NodeError { node: addr.to_string(), reason })
}

fn decode<T: DeserializeOwned>(addr: impl Display, buf: &[u8]) -> Result<T, NodeError> {
    serde_json::from_slice(buf).map_err(|err| {
        let reason = format!("unexpected answer, {err}; it may run another version");
        NodeError { node: addr.to_string(), reason }
    })
}

/// The cause at the end of a chain of errors, which names the failed step.
fn innermost(err: &dyn Error) -> String {
    let mut cause = err;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

use std::error::Error;
use std::fmt::Display;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::blocking::{Client, RequestBuilder};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::NodeRequestError;
use crate::control::ControlStatus;
use crate::mesh::MemberStatus;
use crate::quota::QuotaStatus;
use crate::telemetry::NodeBurn;
use crate::tool::ToolError;

/// Limit on the size of an answer; the status with all members is much smaller.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Client of the HTTP API that nodes provide for operators.
#[derive(Debug, Clone)]
pub struct NodeClient {
    http: Client,
}

#[derive(Serialize)]
struct KeysRequest {
    count: u32,
}

#[derive(Deserialize)]
struct KeysResponse {
    keys: Vec<String>,
}

impl NodeClient {
    /// Creates a client that waits at most `timeout` for each answer.
    ///
    /// # Errors
    ///
    /// [`ToolError::Start`] if the HTTP client cannot be created.
    pub fn new(timeout: Duration) -> Result<NodeClient, ToolError> {
        let http = Client::builder().timeout(timeout).no_proxy().build();
        Ok(NodeClient { http: http.map_err(|err| ToolError::Start(err.to_string()))? })
    }

    /// Fetches the members and configurations that a node knows.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the node does not answer with success.
    pub fn status(&self, addr: impl Display + Copy) -> Result<ControlStatus, NodeRequestError> {
        self.get(addr, "status")
    }

    /// Fetches the state and configurations of one node. The request asks it to leave out the other
    /// members, whose list is long in a large deployment.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the node does not answer with success.
    pub fn status_without_members(&self, addr: &str) -> Result<ControlStatus, NodeRequestError> {
        self.get(addr, "status?members=false")
    }

    /// Fetches the windowed call counts of a node.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the node does not answer with success.
    pub fn burn(&self, addr: &str) -> Result<NodeBurn, NodeRequestError> {
        self.get(addr, "burn")
    }

    /// Asks a node to drain its target: the target gets no new requests and finishes the running
    /// ones.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the node does not answer with success.
    pub fn drain_target(&self, addr: SocketAddr) -> Result<(), NodeRequestError> {
        let url = url(addr, "target/leave");
        send(addr, self.http.post(url)).map(drop)
    }

    /// Takes `count` request keys from a node.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the node does not answer with success.
    pub fn take_keys(&self, addr: SocketAddr, count: u32) -> Result<Vec<String>, NodeRequestError> {
        let req = self.http.post(url(addr, "keys")).json(&KeysRequest { count });
        let taken: KeysResponse = decode(addr, &send(addr, req)?)?;
        Ok(taken.keys)
    }

    /// Fetches the state of quotas on a sidecar from its metrics address.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the sidecar does not answer with success.
    pub fn quota(&self, addr: SocketAddr) -> Result<QuotaStatus, NodeRequestError> {
        let buf = send(addr, self.http.get(format!("http://{addr}/quota")))?;
        decode(addr, &buf)
    }

    /// Fetches the members that a sidecar knows, from its metrics address.
    ///
    /// # Errors
    ///
    /// [`NodeRequestError`] if the sidecar does not answer with success.
    pub fn members(&self, addr: SocketAddr) -> Result<Vec<MemberStatus>, NodeRequestError> {
        let buf = send(addr, self.http.get(format!("http://{addr}/members")))?;
        decode(addr, &buf)
    }

    fn get<T: DeserializeOwned>(
        &self,
        addr: impl Display + Copy,
        path: &str,
    ) -> Result<T, NodeRequestError> {
        let buf = send(addr, self.http.get(url(addr, path)))?;
        decode(addr, &buf)
    }
}

fn url(addr: impl Display, path: &str) -> String {
    format!("http://{addr}/pollenlever/v1/{path}")
}

fn send(addr: impl Display, req: RequestBuilder) -> Result<Vec<u8>, NodeRequestError> {
    let err =
        |err: &dyn Error| NodeRequestError { node: addr.to_string(), reason: root_cause(err) };
    let response = req.send().map_err(|it| err(&it))?;
    let status = response.status();
    let mut buf = Vec::new();
    response.take(MAX_RESPONSE_BYTES).read_to_end(&mut buf).map_err(|it| err(&it))?;
    if status.is_success() {
        return Ok(buf);
    }
    let reason = format!("{status}: {}", String::from_utf8_lossy(&buf));
    Err(NodeRequestError { node: addr.to_string(), reason })
}

fn decode<T: DeserializeOwned>(addr: impl Display, buf: &[u8]) -> Result<T, NodeRequestError> {
    serde_json::from_slice(buf).map_err(|err| {
        let reason = format!("unexpected answer, {err}; it may run another version");
        NodeRequestError { node: addr.to_string(), reason }
    })
}

/// Returns the text of the last error in the chain of sources, which names the step that failed.
fn root_cause(err: &dyn Error) -> String {
    let mut cause = err;
    while let Some(next) = cause.source() {
        cause = next;
    }
    cause.to_string()
}

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use reqwest::{Client, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{Object, ObjectApi, ObjectList, Revision, StoreError, StoreFuture};

/// Timeout of a call; a watch adds its own waiting time.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// [`ObjectApi`] over HTTP. Clones share their connections.
#[derive(Clone)]
pub struct StoreClient {
    base: String,
    http: Client,
}

impl StoreClient {
    /// Creates a client of the store at `addr`.
    ///
    /// ```
    /// use pollenlever::store::StoreClient;
    /// let client = StoreClient::new("127.0.0.1:7300".parse().unwrap()).unwrap();
    /// assert_eq!(format!("{client:?}"), "StoreClient(http://127.0.0.1:7300)");
    /// ```
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the HTTP client cannot be set up.
    pub fn new(addr: SocketAddr) -> Result<StoreClient, StoreError> {
        StoreClient::with_local_ip(None, addr)
    }

    /// Creates a client that connects from the address `local`; the system chooses if it is `None`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] if the HTTP client cannot be set up.
    pub fn with_local_ip(
        local: Option<IpAddr>,
        addr: SocketAddr,
    ) -> Result<StoreClient, StoreError> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .local_address(local)
            .no_proxy()
            .build()
            .map_err(|err| StoreError::Unavailable(err.to_string()))?;
        Ok(StoreClient { base: format!("http://{addr}"), http })
    }

    fn object_url(&self, kind: &str, name: &str) -> String {
        format!("{}/v1/objects/{kind}/{name}", self.base)
    }
}

#[derive(Deserialize)]
struct WriteResponse {
    version: Revision,
}

impl ObjectApi for StoreClient {
    fn get(&self, kind: &str, name: &str) -> StoreFuture<Option<Object>> {
        let req = self.http.get(self.object_url(kind, name)).timeout(CALL_TIMEOUT);
        Box::pin(async move {
            let response = send(req).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            decode(response).await.map(Some)
        })
    }

    fn put(
        &self,
        kind: &str,
        name: &str,
        expected: Revision,
        value: &Value,
    ) -> StoreFuture<Revision> {
        let req = self.http.put(self.object_url(kind, name)).timeout(CALL_TIMEOUT);
        let req = req.header("if-match", expected.to_string()).json(value);
        Box::pin(async move {
            let response = send(req).await?;
            if response.status() == StatusCode::PRECONDITION_FAILED {
                let current: Object = read(response).await?;
                return Err(StoreError::Conflict(current));
            }
            let response_body: WriteResponse = decode(response).await?;
            Ok(response_body.version)
        })
    }

    fn delete(&self, kind: &str, name: &str, expected: Revision) -> StoreFuture<()> {
        let req = self.http.delete(self.object_url(kind, name)).timeout(CALL_TIMEOUT);
        let req = req.header("if-match", expected.to_string());
        Box::pin(async move {
            let response = send(req).await?;
            match response.status() {
                StatusCode::PRECONDITION_FAILED => Err(StoreError::Conflict(read(response).await?)),
                StatusCode::NOT_FOUND => Ok(()),
                _ => decode::<WriteResponse>(response).await.map(drop),
            }
        })
    }

    fn list(&self, kind: &str) -> StoreFuture<ObjectList> {
        let url = format!("{}/v1/objects/{kind}", self.base);
        let req = self.http.get(url).timeout(CALL_TIMEOUT);
        Box::pin(read_list(req))
    }

    fn watch(&self, kind: &str, since: Revision, timeout: Duration) -> StoreFuture<ObjectList> {
        let timeout_ms = timeout.as_millis();
        let url = format!("{}/v1/watch/{kind}?since={since}&timeout_ms={timeout_ms}", self.base);
        let req = self.http.get(url).timeout(timeout + CALL_TIMEOUT);
        Box::pin(read_list(req))
    }
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "StoreClient({})", self.base)
    }
}

async fn read_list(req: RequestBuilder) -> Result<ObjectList, StoreError> {
    decode(send(req).await?).await
}

async fn send(req: RequestBuilder) -> Result<Response, StoreError> {
    req.send().await.map_err(|err| StoreError::from_reqwest_error(&err))
}

async fn decode<T: DeserializeOwned>(response: Response) -> Result<T, StoreError> {
    match response.status() {
        StatusCode::OK => read(response).await,
        status => Err(StoreError::from_status(status.as_u16())),
    }
}

async fn read<T: DeserializeOwned>(mut response: Response) -> Result<T, StoreError> {
    let lost = |err: reqwest::Error| StoreError::ResponseLost(err.to_string());
    let mut buf = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(lost)? {
        if buf.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(StoreError::Malformed("the response is too large".to_owned()));
        }
        buf.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&buf).map_err(|err| {
        if err.is_eof() {
            StoreError::ResponseLost(err.to_string())
        } else {
            StoreError::Malformed(err.to_string())
        }
    })
}

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PROTOCOL_VERSION, PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use super::connection::Connection;
use super::message_io::{recv_message, send_message, stream_error};
use super::pool::Pool;
use super::{PeerError, PeerFuture, PeerOptions, PeerSender, RequestFrame, WireError};
use super::{decode_reply, encode_request};

/// Sends requests to peers, one stream each, over pooled connections.
#[derive(Debug, Clone)]
pub struct PeerClient {
    me: NodeId,
    options: PeerOptions,
    pool: Arc<Pool>,
    runtime: Handle,
}

/// Connections that are tried before a request fails untouched.
const CONNECTION_TRIES: usize = 2;

/// A failure with how far the request got.
type Failed = (SendFailure, WireError);

impl PeerClient {
    /// Client of the node `me` whose connections are driven by `runtime`.
    pub fn new(me: NodeId, options: PeerOptions, runtime: Handle) -> PeerClient {
        let pool = Arc::new(Pool::new(options.local_ip));
        PeerClient { me, options, pool, runtime }
    }

    /// Sends `req` and waits for the reply. Dropping the future resets the stream.
    ///
    /// # Errors
    ///
    /// [`PeerError`] with how far the request got.
    pub async fn exchange(
        &self,
        to: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) -> Result<(PeerReply, Bytes), PeerError> {
        let exchanged = self.try_exchange(to, req, body).await;
        exchanged.map_err(|(failure, err)| PeerError { to, failure, reason: err.to_string() })
    }

    async fn try_exchange(
        &self,
        to: NodeId,
        request: PeerRequest,
        body: Bytes,
    ) -> Result<(PeerReply, Bytes), Failed> {
        let untouched = |err| (SendFailure::Untouched, err);
        let frame =
            RequestFrame { version: PROTOCOL_VERSION, from: self.me, to: to.incarnation, request };
        let head = encode_request(&frame).map_err(untouched)?;
        let (connection, streams) = self.ready_connection(to.addr).await.map_err(untouched)?;
        let _work = connection.open_stream();
        tokio::select! {
            res = self.exchange_on(streams, &head, body) => res,
            err = connection.ended() => Err((SendFailure::Lost, err)),
        }
    }

    /// A connection on which a stream can be opened. A pooled one that turns out to be closing is
    /// replaced once; nothing was sent on it.
    async fn ready_connection(
        &self,
        addr: SocketAddr,
    ) -> Result<(Connection, SendRequest<Bytes>), WireError> {
        let mut last_err = None;
        for _ in 0..CONNECTION_TRIES {
            let connection = self.pool.connection(addr).await?;
            let _work = connection.open_stream();
            tokio::select! {
                ready = connection.streams.clone().ready() => match ready {
                    Ok(streams) => return Ok((connection, streams)),
                    Err(err) => last_err = Some(stream_error(err)),
                },
                err = connection.ended() => last_err = Some(err),
            }
        }
        Err(last_err.unwrap_or_else(|| WireError::Stream("no connection".to_owned())))
    }

    async fn exchange_on(
        &self,
        mut streams: SendRequest<Bytes>,
        head: &Bytes,
        body: Bytes,
    ) -> Result<(PeerReply, Bytes), Failed> {
        let lost = |err| (SendFailure::Lost, err);
        let opened = streams.send_request(peer_request(), false);
        let (response, mut stream) =
            opened.map_err(|err| (SendFailure::Untouched, stream_error(err)))?;
        drop(streams);
        // A server may refuse before it has read the whole request, so the reply goes first.
        let sent = send_message(&mut stream, head, body).await;
        let response = match response.await {
            Ok(response) => response,
            Err(err) => return Err(lost(sent.err().unwrap_or(stream_error(err)))),
        };
        let mut reply = response.into_body();
        let (head, body) =
            recv_message(&mut reply, self.options.max_body_bytes).await.map_err(lost)?;
        let frame = decode_reply(&head).map_err(lost)?;
        Ok((frame.reply, body))
    }
}

fn peer_request() -> Request<()> {
    let mut req = Request::new(());
    *req.method_mut() = http::Method::POST;
    *req.uri_mut() = http::Uri::from_static("http://node/");
    req
}

impl PeerSender for PeerClient {
    fn send(&self, to: NodeId, req: PeerRequest, body: Bytes, timeout: Duration) -> PeerFuture {
        let client = self.clone();
        let work = async move {
            match tokio::time::timeout(timeout, client.exchange(to, req, body)).await {
                Ok(res) => res,
                Err(_) => Err(lost(to, "timed out")),
            }
        };
        let mut task = AbortOnDrop(self.runtime.spawn(work));
        Box::pin(async move {
            match (&mut task.0).await {
                Ok(res) => res,
                Err(_) => Err(lost(to, "the peer thread has ended")),
            }
        })
    }
}

fn lost(to: NodeId, reason: &str) -> PeerError {
    PeerError { to, failure: SendFailure::Lost, reason: reason.to_owned() }
}

/// A task that ends when its owner loses interest.
struct AbortOnDrop<T>(JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

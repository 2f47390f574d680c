use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::memory::MessageKind;
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

use super::build_info::{add_own_build, read_build};
use super::connection::Connection;
use super::message_io::{MessageSource, recv_message, send_message, stream_error};
use super::pool::Pool;
use super::{
    OLDEST_PROTOCOL_VERSION, PeerError, PeerFuture, PeerOptions, PeerSender, PeerVersions,
    ReplyFrame, RequestFrame, WireError, decode_reply, encode_request,
};
use crate::bounds::MessageMemory;

/// Sends requests to peers, one stream each, over pooled connections.
#[derive(Debug, Clone)]
pub struct PeerClient {
    local_node: NodeId,
    options: PeerOptions,
    pool: Arc<Pool>,
    versions: Arc<PeerVersions>,
    /// Memory for the bodies of replies; `None` if they are not counted.
    memory: Option<MessageMemory>,
    runtime: Handle,
}

/// Connections that are tried before a request fails without having been sent.
const MAX_CONNECTION_TRIES: usize = 2;

/// Whether the failed request may have arrived, and the error.
type ExchangeError = (SendFailure, WireError);

impl PeerClient {
    /// Creates the client of `local_node`; its connections run on `runtime`.
    pub fn new(local_node: NodeId, options: PeerOptions, runtime: Handle) -> PeerClient {
        let pool = Arc::new(Pool::new(options.local_ip));
        PeerClient { local_node, options, pool, versions: Arc::default(), memory: None, runtime }
    }

    /// Takes the memory for the bodies of replies from `memory`.
    pub fn with_memory(self, memory: MessageMemory) -> PeerClient {
        PeerClient { memory: Some(memory), ..self }
    }

    /// Protocol versions and builds of the peers that have replied.
    pub fn versions(&self) -> &Arc<PeerVersions> {
        &self.versions
    }

    /// Sends `req` and waits for the reply. Dropping the future resets the stream.
    ///
    /// # Errors
    ///
    /// [`PeerError`], which says whether the request may have arrived.
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
    ) -> Result<(PeerReply, Bytes), ExchangeError> {
        let not_sent = |err| (SendFailure::NotSent, err);
        let mut frame =
            RequestFrame { version: 0, from: self.local_node, to: to.incarnation, request };
        loop {
            let (connection, streams) = self.ready_connection(to.addr).await.map_err(not_sent)?;
            frame.version = connection.version();
            let head = encode_request(&frame).map_err(not_sent)?;
            let _stream_guard = connection.open_stream();
            let tells_build = connection.take_build_turn();
            let (reply, reply_body) = tokio::select! {
                res = self.exchange_on_stream(streams, &head, body.clone(), tells_build) => res?,
                err = connection.wait_until_closed() => return Err((SendFailure::Lost, err)),
            };
            match older_version(&frame, &reply) {
                Some(version) => connection.set_version(version),
                None => return Ok((reply.reply, reply_body)),
            }
        }
    }

    /// Returns a connection on which a stream can be opened. If the pooled connection turns out to
    /// be closing, it is replaced once; that is safe because the request was not sent on it.
    async fn ready_connection(
        &self,
        addr: SocketAddr,
    ) -> Result<(Connection, SendRequest<Bytes>), WireError> {
        let mut last_err = None;
        for _ in 0..MAX_CONNECTION_TRIES {
            let connection = self.pool.connection(addr).await?;
            let _stream_guard = connection.open_stream();
            tokio::select! {
                ready = connection.streams.clone().ready() => match ready {
                    Ok(streams) => return Ok((connection, streams)),
                    Err(err) => last_err = Some(stream_error(err)),
                },
                err = connection.wait_until_closed() => last_err = Some(err),
            }
        }
        Err(last_err.unwrap_or_else(|| WireError::Stream("no connection".to_owned())))
    }

    async fn exchange_on_stream(
        &self,
        mut streams: SendRequest<Bytes>,
        head: &Bytes,
        body: Bytes,
        tells_build: bool,
    ) -> Result<(ReplyFrame, Bytes), ExchangeError> {
        let lost = |err| (SendFailure::Lost, err);
        let opened = streams.send_request(peer_request(tells_build), false);
        let (response, mut stream) =
            opened.map_err(|err| (SendFailure::NotSent, stream_error(err)))?;
        drop(streams);
        // A server may refuse a request before it has read all of it, so the reply is read even if
        // sending failed.
        let sent = send_message(&mut stream, head, body).await;
        let response = match response.await {
            Ok(response) => response,
            Err(err) => return Err(lost(sent.err().unwrap_or(stream_error(err)))),
        };
        let (parts, mut reply) = response.into_parts();
        let memory = self.memory.as_ref();
        let source = memory.map(|memory| MessageSource { memory, kind: MessageKind::PeerAnswer });
        let max_bytes = self.options.max_body_bytes;
        let (head, body) = recv_message(&mut reply, max_bytes, source).await.map_err(lost)?;
        let frame = decode_reply(&head).map_err(|err| match err {
            // A peer replies in the version of the request if it can read it.
            WireError::Version { .. } => (SendFailure::NotSent, err),
            _ => lost(err),
        })?;
        self.versions.record(frame.from, frame.version, read_build(&parts.headers));
        Ok((frame, body))
    }
}

/// Version in which the peer can read the request, if it has refused it for its version.
fn older_version(req: &RequestFrame, reply: &ReplyFrame) -> Option<u16> {
    let is_refusal = reply.reply == PeerReply::Refused(ErrorKind::WrongProtocolVersion);
    let is_older = (OLDEST_PROTOCOL_VERSION..req.version).contains(&reply.version);
    (is_refusal && is_older).then_some(reply.version)
}

fn peer_request(tells_build: bool) -> Request<()> {
    let mut req = Request::new(());
    if tells_build {
        add_own_build(req.headers_mut());
    }
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

/// A task that is aborted when this handle is dropped.
struct AbortOnDrop<T>(JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use pollenlever::peer::{
    PeerClient, PeerError, PeerOptions, PeerSender, RequestFrame, decode_reply, encode_request,
};
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{ANY_INCARNATION, NodeId};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::rollout::ConfigMessage;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

/// A peer that can also send malformed requests.
pub(crate) struct TestPeer {
    node_id: NodeId,
    client: PeerClient,
    runtime: Runtime,
}

impl TestPeer {
    pub(crate) fn new() -> TestPeer {
        let runtime = Runtime::new().unwrap();
        let node_id = "127.0.0.1:9@7".parse().unwrap();
        let client = PeerClient::new(node_id, PeerOptions::default(), runtime.handle().clone());
        TestPeer { node_id, client, runtime }
    }

    /// Sends a request as a node does.
    pub(crate) fn exchange(&self, to: NodeId, req: PeerRequest) -> Result<PeerReply, PeerError> {
        let exchange = self.client.exchange(to, req, Bytes::new());
        self.runtime.block_on(exchange).map(|(reply, _)| reply)
    }

    /// Sends a request as a node does and gives up after `timeout`.
    pub(crate) fn exchange_within(
        &self,
        to: NodeId,
        req: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, PeerError> {
        let exchange = self.client.send(to, req, Bytes::new(), timeout);
        self.runtime.block_on(exchange).map(|(reply, _)| reply)
    }

    pub(crate) fn send_config(&self, addr: SocketAddr, cfg: ServiceConfig) {
        let to = NodeId { addr, incarnation: ANY_INCARNATION };
        let message = ConfigMessage { configs: vec![cfg], ..ConfigMessage::default() };
        self.exchange(to, PeerRequest::Config(message)).unwrap();
    }

    /// Encodes the head of a request from this peer.
    pub(crate) fn head(&self, version: u16, to: NodeId, request: PeerRequest) -> Bytes {
        let frame = RequestFrame { version, from: self.node_id, to: to.incarnation, request };
        encode_request(&frame).unwrap()
    }

    /// Sends raw bytes as the body of an HTTP/2 stream and reads the reply.
    pub(crate) fn send_raw(&self, addr: SocketAddr, data: Vec<u8>) -> PeerReply {
        self.runtime.block_on(async {
            let io = TcpStream::connect(addr).await.unwrap();
            let (streams, driver) = h2::client::handshake(io).await.unwrap();
            tokio::spawn(driver);
            exchange_raw(streams, data).await
        })
    }
}

async fn exchange_raw(streams: SendRequest<Bytes>, data: Vec<u8>) -> PeerReply {
    let mut streams = streams.ready().await.unwrap();
    let req = http::Request::post("http://node/").body(()).unwrap();
    let (response, mut stream) = streams.send_request(req, false).unwrap();
    stream.send_data(Bytes::from(data), true).unwrap();
    let mut body = response.await.unwrap().into_body();
    let mut buf = Vec::new();
    while let Some(data) = body.data().await {
        buf.extend_from_slice(&data.unwrap());
    }
    let head_len = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    decode_reply(&buf[8..8 + head_len]).unwrap().reply
}

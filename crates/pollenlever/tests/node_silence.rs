//! A connection between nodes on which no bytes arrive any more is closed and replaced.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use pollenlever_core::id::NodeId;
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use support::{TestNode, TestPeer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;

/// Limit of the time until a request on a silent connection fails, with a margin for a slow
/// machine.
const MAX_FAILURE_DELAY: Duration = Duration::from_secs(6);

/// Time after which a connection on which a request waits in silence gets no new ones.
const SUSPECT_TIME: Duration = Duration::from_millis(700);

/// TCP relay. Once `silenced` is set, it discards the bytes of its first connection but keeps that
/// connection open; later connections are not affected.
struct Relay {
    addr: SocketAddr,
    silenced: Arc<AtomicBool>,
    _runtime: Runtime,
}

impl Relay {
    fn start(to: SocketAddr) -> Relay {
        let runtime = Runtime::new().unwrap();
        let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let addr = listener.local_addr().unwrap();
        let silenced = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&silenced);
        runtime.spawn(async move {
            let mut is_first = true;
            while let Ok((io, _)) = listener.accept().await {
                let flag = if is_first { Arc::clone(&flag) } else { Arc::default() };
                is_first = false;
                let outgoing = TcpStream::connect(to).await.unwrap();
                let (client_rx, client_tx) = io.into_split();
                let (server_rx, server_tx) = outgoing.into_split();
                tokio::spawn(copy_bytes(client_rx, server_tx, Arc::clone(&flag)));
                tokio::spawn(copy_bytes(server_rx, client_tx, flag));
            }
        });
        Relay { addr, silenced, _runtime: runtime }
    }
}

async fn copy_bytes(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    silenced: Arc<AtomicBool>,
) {
    let mut buf = [0; 4096];
    while let Ok(received_len) = rx.read(&mut buf).await {
        if received_len == 0 {
            return;
        }
        if !silenced.load(Ordering::SeqCst) && tx.write_all(&buf[..received_len]).await.is_err() {
            return;
        }
    }
}

#[test]
fn request_after_a_silent_connection_uses_a_new_connection() {
    let node = TestNode::start();
    let relay = Relay::start(node.cfg.peer);
    let peer = TestPeer::new();
    let to = NodeId { addr: relay.addr, ..node.id() };
    let grant = || PeerRequest::Grant(format!("{}~1", node.id()).parse().unwrap());
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));

    relay.silenced.store(true, Ordering::SeqCst);
    let start = Instant::now();
    let failed = peer.exchange(to, grant()).unwrap_err();
    assert_eq!(failed.failure, SendFailure::Lost);
    assert!(start.elapsed() < MAX_FAILURE_DELAY);
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));
}

#[test]
fn a_new_request_waits_on_a_connection_that_is_silent_for_an_earlier_one() {
    let node = TestNode::start();
    let relay = Relay::start(node.cfg.peer);
    let peer = TestPeer::new();
    let to = NodeId { addr: relay.addr, ..node.id() };
    let grant = || PeerRequest::Grant(format!("{}~1", node.id()).parse().unwrap());
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));

    relay.silenced.store(true, Ordering::SeqCst);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| peer.exchange(to, grant()));
        std::thread::sleep(SUSPECT_TIME);
        let second = peer.exchange(to, grant());
        assert!(matches!(second, Ok(PeerReply::Grant(_))), "{second:?}");
        assert_eq!(first.join().unwrap().unwrap_err().failure, SendFailure::Lost);
    });
}

#[test]
fn requests_with_short_timeouts_do_not_keep_a_silent_connection() {
    let node = TestNode::start();
    let relay = Relay::start(node.cfg.peer);
    let peer = TestPeer::new();
    let to = NodeId { addr: relay.addr, ..node.id() };
    let grant = || PeerRequest::Grant(format!("{}~1", node.id()).parse().unwrap());
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));

    relay.silenced.store(true, Ordering::SeqCst);
    let start = Instant::now();
    while peer.exchange_within(to, grant(), Duration::from_millis(100)).is_err() {
        assert!(start.elapsed() < MAX_FAILURE_DELAY);
    }
}

#[test]
fn request_on_a_refused_connection_is_reported_as_not_sent() {
    let peer = TestPeer::new();
    let to: NodeId = "127.0.0.1:9@7".parse().unwrap();
    let grant = PeerRequest::Grant("127.0.0.1:9@7~1".parse().unwrap());
    assert_eq!(peer.exchange(to, grant).unwrap_err().failure, SendFailure::NotSent);
}

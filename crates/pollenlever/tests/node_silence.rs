//! A connection between nodes that goes silent is given up and replaced.

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

/// Longest time until work on a silent connection fails, with room for a slow machine.
const GIVE_UP_WITHIN: Duration = Duration::from_secs(6);

/// Passes bytes on until it is told to swallow those of the connections that are open.
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
                let onward = TcpStream::connect(to).await.unwrap();
                let (near_rx, near_tx) = io.into_split();
                let (far_rx, far_tx) = onward.into_split();
                tokio::spawn(pump(near_rx, far_tx, Arc::clone(&flag)));
                tokio::spawn(pump(far_rx, near_tx, flag));
            }
        });
        Relay { addr, silenced, _runtime: runtime }
    }
}

async fn pump(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    silenced: Arc<AtomicBool>,
) {
    let mut buf = [0; 4096];
    while let Ok(got) = rx.read(&mut buf).await {
        if got == 0 {
            return;
        }
        if !silenced.load(Ordering::SeqCst) && tx.write_all(&buf[..got]).await.is_err() {
            return;
        }
    }
}

#[test]
fn work_moves_to_a_new_connection() {
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
    assert!(start.elapsed() < GIVE_UP_WITHIN);
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));
}

#[test]
fn requests_that_end_early_do_not_keep_a_silent_connection() {
    let node = TestNode::start();
    let relay = Relay::start(node.cfg.peer);
    let peer = TestPeer::new();
    let to = NodeId { addr: relay.addr, ..node.id() };
    let grant = || PeerRequest::Grant(format!("{}~1", node.id()).parse().unwrap());
    assert!(matches!(peer.exchange(to, grant()), Ok(PeerReply::Grant(_))));

    relay.silenced.store(true, Ordering::SeqCst);
    let start = Instant::now();
    while peer.exchange_within(to, grant(), Duration::from_millis(100)).is_err() {
        assert!(start.elapsed() < GIVE_UP_WITHIN);
    }
}

#[test]
fn nothing_listens_at_the_peers_address() {
    let peer = TestPeer::new();
    let to: NodeId = "127.0.0.1:9@7".parse().unwrap();
    let grant = PeerRequest::Grant("127.0.0.1:9@7~1".parse().unwrap());
    assert_eq!(peer.exchange(to, grant).unwrap_err().failure, SendFailure::Untouched);
}

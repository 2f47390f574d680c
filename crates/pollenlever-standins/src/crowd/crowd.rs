use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::{Client, Reading};

/// Receive buffer of a client, in bytes. A small one leaves unread answers with the node.
const RECV_BUFFER_BYTES: u32 = 4 << 10;
/// A write that takes longer counts as blocked: the node has stopped reading.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);
/// Most bytes that a client sends after its opening.
const MAX_TAIL_BYTES: usize = 256 << 10;
/// What a slow reader reads at a time, and how often.
const PART_BYTES: usize = 4 << 10;
const PART_INTERVAL: Duration = Duration::from_millis(100);
/// Connections that are opened at the same time.
const OPENED_AT_ONCE: usize = 50;

/// Open connections of clients that behave alike. Dropping it closes them.
///
/// ```
/// use pollenlever_standins::crowd::{Client, Crowd};
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let crowd = Crowd::open(3, listener.local_addr().unwrap(), Client::default()).await;
/// drop(crowd);
/// # });
/// ```
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects `count` clients to `addr`. Returns once each of them has sent what it is going to send, or the
    /// node no longer reads.
    pub async fn open(count: usize, addr: SocketAddr, client: Client) -> Crowd {
        let mut clients = JoinSet::new();
        for first in (0..count).step_by(OPENED_AT_ONCE) {
            let opened = (first..count.min(first + OPENED_AT_ONCE))
                .map(|index| tokio::spawn(async move { open_client(index, addr, client).await }));
            for client_task in opened.collect::<Vec<_>>() {
                if let Some(io) = client_task.await.unwrap() {
                    clients.spawn(hold(io, client.reading));
                }
            }
        }
        Crowd { _clients: clients }
    }
}

/// Connects and sends; `None` if the node refuses the connection.
async fn open_client(index: usize, addr: SocketAddr, client: Client) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECV_BUFFER_BYTES).unwrap();
    let mut io = timeout(BLOCKED_AFTER, socket.connect(addr)).await.ok()?.ok()?;
    send(&mut io, index, client).await;
    Some(io)
}

async fn send(io: &mut TcpStream, index: usize, client: Client) -> Option<()> {
    let (opening, count) = client.opening;
    for request in 0..count {
        let text = opening.replace("{id}", &format!("crowd-{index}-{request}"));
        write(io, &text).await?;
    }
    let tails_at_once = (PART_BYTES / client.tail.len().max(1)).max(1);
    let part = client.tail.repeat(tails_at_once);
    let mut sent = 0;
    while !part.is_empty() && sent < MAX_TAIL_BYTES {
        write(io, &part).await?;
        sent += part.len();
    }
    write(io, client.ending).await
}

/// Writes a text; `None` if the node no longer reads, or has closed the connection.
async fn write(io: &mut TcpStream, text: &str) -> Option<()> {
    timeout(BLOCKED_AFTER, io.write_all(text.as_bytes())).await.ok()?.ok()
}

/// Keeps a connection open until the node closes it.
async fn hold(mut io: TcpStream, reading: Reading) {
    let mut part = vec![0; PART_BYTES];
    if reading == Reading::Never {
        return std::future::pending().await;
    }
    while io.read(&mut part).await.is_ok_and(|len| len > 0) {
        tokio::time::sleep(PART_INTERVAL).await;
    }
}

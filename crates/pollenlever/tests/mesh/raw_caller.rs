use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::test_mesh::DEADLINE_MS;

/// Longest wait for bytes; a test that reaches it has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A caller that writes and reads raw bytes.
pub(crate) struct RawCaller {
    io: TcpStream,
    buf: Vec<u8>,
}

/// An answer as the caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawAnswer {
    /// Value of a header, by its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|it| it.split_once(':'));
        let mut found = lines.filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

impl RawCaller {
    pub(crate) async fn connect(addr: SocketAddr) -> RawCaller {
        RawCaller { io: TcpStream::connect(addr).await.unwrap(), buf: Vec::new() }
    }

    /// Connects with a small receive buffer, so that what is not read stays with the node.
    pub(crate) async fn connect_slow_reader(addr: SocketAddr) -> RawCaller {
        const RECV_BUFFER_BYTES: u32 = 4 << 10;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECV_BUFFER_BYTES).unwrap();
        RawCaller { io: socket.connect(addr).await.unwrap(), buf: Vec::new() }
    }

    pub(crate) async fn write(&mut self, text: &str) {
        self.io.write_all(text.as_bytes()).await.unwrap();
    }

    /// Sends a request without a body.
    pub(crate) async fn request(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64) {
        self.request_with(method, path, id, deadline_ms, "").await;
    }

    /// Sends a request without a body and with further header `lines`.
    pub(crate) async fn request_with(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline_ms: u64,
        lines: &str,
    ) {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nPollenlever-Request-Id: {id}\r\n\
             Pollenlever-Deadline-Ms: {deadline_ms}\r\n{lines}\r\n"
        );
        self.write(&head).await;
    }

    /// Sends a request with a body of `len` bytes.
    pub(crate) async fn upload(&mut self, path: &str, id: &str, deadline_ms: u64, len: usize) {
        let line = format!("Content-Length: {len}\r\n");
        self.request_with("POST", path, id, deadline_ms, &line).await;
        self.write(&"x".repeat(len)).await;
    }

    /// Sends a `GET` request with an API key and waits for its answer.
    pub(crate) async fn get_with_key(&mut self, path: &str, id: &str, key: &str) -> RawAnswer {
        let line = format!("Authorization: Bearer {key}\r\n");
        self.request_with("GET", path, id, DEADLINE_MS, &line).await;
        self.answer().await.expect("an answer")
    }

    /// Reads one answer; `None` if the connection ends first.
    pub(crate) async fn answer(&mut self) -> Option<RawAnswer> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.read().await {
                return None;
            }
        };
        let head = String::from_utf8(self.buf.drain(..head_len).collect()).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut answer = RawAnswer { status, head, body: String::new() };
        let len: usize = answer.header("content-length").map_or(0, |it| it.parse().unwrap());
        while self.buf.len() < len {
            if !self.read().await {
                return None;
            }
        }
        answer.body = String::from_utf8(self.buf.drain(..len).collect()).unwrap();
        Some(answer)
    }

    /// Closes the connection with a reset.
    pub(crate) fn reset(self) {
        self.io.set_zero_linger().unwrap();
    }

    async fn read(&mut self) -> bool {
        let mut bytes = [0; 4096];
        let read = tokio::time::timeout(READ_TIMEOUT, self.io.read(&mut bytes)).await;
        match read.expect("the node should answer or close the connection") {
            Ok(len) => {
                self.buf.extend_from_slice(&bytes[..len]);
                len > 0
            }
            Err(_) => false,
        }
    }
}

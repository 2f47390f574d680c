use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Length of the body of a long answer, in bytes.
const LONG_BODY_BYTES: usize = 900_000;

/// A target that selects its answer, or the way in which it fails, by the last segment of the path.
#[derive(Debug, Clone)]
pub(crate) struct StubTarget {
    pub(crate) addr: SocketAddr,
    heads: Arc<Mutex<Vec<String>>>,
    disconnects: Arc<AtomicUsize>,
}

impl StubTarget {
    /// Body of the answers.
    pub(crate) const BODY: &str = "the whole answer";

    pub(crate) fn start() -> StubTarget {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let target = StubTarget { addr, heads: Arc::default(), disconnects: Arc::default() };
        let shared = target.clone();
        std::thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let target = shared.clone();
                std::thread::spawn(move || target.serve(io));
            }
        });
        target
    }

    /// Request lines and headers of the requests that arrived so far.
    pub(crate) fn heads(&self) -> Vec<String> {
        self.heads.lock().unwrap().clone()
    }

    /// Number of requests whose connection was closed while they ran.
    pub(crate) fn disconnects(&self) -> usize {
        self.disconnects.load(Ordering::SeqCst)
    }

    fn serve(&self, io: TcpStream) {
        let mut rx = BufReader::new(io.try_clone().unwrap());
        while let Some(head) = read_request(&mut rx) {
            self.heads.lock().unwrap().push(head.clone());
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            if !self.answer(&io, &path) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(&self, mut io: &TcpStream, path: &str) -> bool {
        let (body, length) = (StubTarget::BODY, StubTarget::BODY.len());
        let text = match path.rsplit('/').next().unwrap_or_default() {
            "cut" => format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", length + 1),
            "unmarked" => format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{body}"),
            "cut-chunk" => format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n"
            ),
            "chunked" => format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
            ),
            "large" => format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 1 << 30),
            status if status.starts_with("status-") => {
                let status = status.trim_start_matches("status-");
                format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}")
            }
            "long" => {
                let body = "x".repeat(LONG_BODY_BYTES);
                format!("HTTP/1.1 200 OK\r\ncontent-length: {LONG_BODY_BYTES}\r\n\r\n{body}")
            }
            "crash" => String::new(),
            "unread" => complete_answer(),
            "unread-cut" => return cut_by_reset(io),
            "slow" => {
                if is_closed_within(io, Duration::from_millis(1500)) {
                    self.disconnects.fetch_add(1, Ordering::SeqCst);
                    return false;
                }
                complete_answer()
            }
            _ => complete_answer(),
        };
        let keeps_connection = (text == complete_answer() && !path.ends_with("/unread"))
            || path.ends_with("/chunked")
            || path.ends_with("/long");
        io.write_all(text.as_bytes()).is_ok() && keeps_connection
    }
}

fn complete_answer() -> String {
    let (body, length) = (StubTarget::BODY, StubTarget::BODY.len());
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nx-colour: blue\r\n\r\n{body}")
}

/// Writes a part of an answer, and resets the connection while the request is still being sent. Returns that the
/// connection does not stay open.
fn cut_by_reset(mut io: &TcpStream) -> bool {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 10000\r\n\r\n";
    let _ = io.write_all(format!("{head}{}", "x".repeat(5_000)).as_bytes());
    // Closing a socket with unread bytes resets its connection.
    false
}

fn read_request(rx: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if rx.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lengths = head.lines().filter_map(|line| line.strip_prefix("content-length: "));
    let length = lengths.map(|it| it.trim().parse().unwrap_or(0)).next().unwrap_or(0);
    if !head.contains("/unread") {
        let mut body = vec![0; length];
        rx.read_exact(&mut body).ok()?;
    }
    Some(head)
}

fn is_closed_within(io: &TcpStream, wait: Duration) -> bool {
    io.set_read_timeout(Some(wait)).unwrap();
    let mut buf = [0];
    let closed = matches!(io.peek(&mut buf), Ok(0));
    io.set_read_timeout(None).unwrap();
    closed
}

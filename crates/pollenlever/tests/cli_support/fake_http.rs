use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A request received by a fake server.
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    /// Version in the header `if-match`, if any.
    pub(crate) if_match: Option<u64>,
    pub(crate) body: String,
}

/// Response of a fake server. With `status: None` it closes the connection without a response.
pub(crate) struct Reply {
    pub(crate) status: Option<u16>,
    pub(crate) body: String,
}

impl Reply {
    pub(crate) fn ok(body: impl ToString) -> Reply {
        Reply { status: Some(200), body: body.to_string() }
    }
}

/// An HTTP server on a free loopback port. Its threads run until the test process exits.
pub(crate) struct FakeHttp {
    pub(crate) addr: SocketAddr,
}

impl FakeHttp {
    pub(crate) fn start(handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> FakeHttp {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let handle = Arc::new(handle);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = Arc::clone(&handle);
                thread::spawn(move || serve(stream, handle.as_ref()));
            }
        });
        FakeHttp { addr }
    }
}

fn serve(stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) {
    let mut reader = BufReader::new(stream);
    let Some(req) = read_request(&mut reader) else { return };
    let Reply { status, body } = handle(&req);
    let Some(status) = status else { return };
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    let _ = reader.into_inner().write_all((head + &body).as_bytes());
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (mut length, mut if_match) = (0, None);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else { break };
        match name.to_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "if-match" => if_match = value.parse().ok(),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, if_match, body: String::from_utf8(body).ok()? })
}

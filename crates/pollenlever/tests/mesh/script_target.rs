use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Longest wait for what a test expects.
const WAIT: Duration = Duration::from_secs(20);

/// What a target does with one request.
#[derive(Debug, Clone)]
pub(crate) enum Act {
    /// Answer with a status and a body, echoing the request's id.
    Answer(u16, &'static str),
    /// Say that the request was not run.
    Reject,
    /// Write these bytes; `{id}` stands for the request's id. Then keep the connection.
    Write(&'static str),
    /// The same, then close the connection.
    WriteAndClose(&'static str),
    /// Close the connection without an answer.
    Close,
    /// Close the connection without an answer if the path is this one, else answer.
    CloseOn(&'static str),
    /// Work until the caller hangs up.
    Hang,
    /// Work until the test lets it answer.
    Hold,
}

/// A request as it came.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl Arrival {
    /// Value of a header, by its name in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let lines = self.head.lines().filter_map(|it| it.split_once(':'));
        let mut found = lines.filter(|(it, _)| it.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim().to_owned())
    }
}

#[derive(Default)]
struct State {
    script: Vec<Act>,
    arrivals: Vec<Arrival>,
    connections: usize,
    hangups: usize,
}

/// A target that follows a script: one act for each request, the last one for all that follow.
#[derive(Clone)]
pub(crate) struct ScriptTarget {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    released: Arc<Notify>,
}

impl ScriptTarget {
    pub(crate) async fn start(script: &[Act]) -> ScriptTarget {
        // The target has an address of its own, so that callers are told from its calls.
        let listener = TcpListener::bind("127.0.0.2:0").await.unwrap();
        let target = ScriptTarget {
            addr: listener.local_addr().unwrap(),
            state: Arc::new(Mutex::new(State { script: script.to_vec(), ..State::default() })),
            changed: Arc::default(),
            released: Arc::default(),
        };
        let server = target.clone();
        tokio::spawn(async move {
            while let Ok((io, _)) = listener.accept().await {
                let server = server.clone();
                server.state.lock().unwrap().connections += 1;
                tokio::spawn(async move { server.serve(io).await });
            }
        });
        target
    }

    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// Connections that were made so far.
    pub(crate) fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    /// Lets the requests that are held be answered.
    pub(crate) fn release(&self) {
        self.released.notify_waiters();
    }

    /// Waits until `count` requests have come.
    pub(crate) async fn until_arrivals(&self, count: usize) {
        self.until(|it| it.arrivals.len() >= count).await;
    }

    /// Waits until `count` callers have hung up on work.
    pub(crate) async fn until_hangups(&self, count: usize) {
        self.until(|it| it.hangups >= count).await;
    }

    async fn until(&self, is_met: impl Fn(&State) -> bool) {
        let met = async {
            loop {
                let next = self.changed.notified();
                if is_met(&self.state.lock().unwrap()) {
                    return;
                }
                next.await;
            }
        };
        tokio::time::timeout(WAIT, met).await.expect("the target should see it");
    }

    async fn serve(&self, mut io: TcpStream) {
        let mut buf = Vec::new();
        while let Some(arrival) = read_request(&mut io, &mut buf).await {
            let id = arrival.header("pollenlever-request-id").unwrap_or_default();
            let path = arrival.head.split(' ').nth(1).unwrap_or_default().to_owned();
            let act = self.note(arrival);
            let answer = |status: u16, body: &str| {
                format!(
                    "HTTP/1.1 {status} X\r\nPollenlever-Request-Id: {id}\r\n\
                     Pollenlever-Proof: p\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            let (text, close) = match act {
                Act::Answer(status, body) => (answer(status, body), false),
                Act::Reject => (
                    "HTTP/1.1 503 X\r\nPollenlever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
                        .to_owned(),
                    false,
                ),
                Act::Write(text) => (text.replace("{id}", &id), false),
                Act::WriteAndClose(text) => (text.replace("{id}", &id), true),
                Act::Close => return,
                Act::CloseOn(it) if it == path => return,
                Act::CloseOn(_) => (answer(200, "ran"), false),
                Act::Hang => return self.until_closed(&mut io).await,
                Act::Hold => {
                    let released = self.released.notified();
                    tokio::select! {
                        () = released => (answer(200, "held"), false),
                        () = self.until_closed(&mut io) => return,
                    }
                }
            };
            if io.write_all(text.as_bytes()).await.is_err() || close {
                return;
            }
        }
    }

    fn note(&self, arrival: Arrival) -> Act {
        let mut state = self.state.lock().unwrap();
        let at = state.arrivals.len().min(state.script.len() - 1);
        let act = state.script[at].clone();
        state.arrivals.push(arrival);
        self.changed.notify_waiters();
        act
    }

    async fn until_closed(&self, io: &mut TcpStream) {
        let mut bytes = [0; 64];
        while io.read(&mut bytes).await.is_ok_and(|it| it > 0) {}
        self.state.lock().unwrap().hangups += 1;
        self.changed.notify_waiters();
    }
}

async fn read_request(io: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Arrival> {
    let mut bytes = [0; 4096];
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        let len = io.read(&mut bytes).await.ok().filter(|it| *it > 0)?;
        buf.extend_from_slice(&bytes[..len]);
    };
    let head = String::from_utf8(buf.drain(..head_len).collect()).unwrap();
    let mut arrival = Arrival { head, body: String::new() };
    let len: usize = arrival.header("content-length").map_or(0, |it| it.parse().unwrap());
    while buf.len() < len {
        let len = io.read(&mut bytes).await.ok().filter(|it| *it > 0)?;
        buf.extend_from_slice(&bytes[..len]);
    }
    arrival.body = String::from_utf8(buf.drain(..len).collect()).unwrap();
    Some(arrival)
}

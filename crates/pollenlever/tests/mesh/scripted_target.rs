use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Timeout of the conditions that a test waits for.
const WAIT: Duration = Duration::from_secs(20);

const REJECTION: &str = "HTTP/1.1 503 X\r\nPollenlever-Not-Run: 1\r\nPollenlever-Request-Id: {id}\r\n\
    Content-Length: 0\r\n\r\n";
const REJECTION_WITHOUT_ID: &str =
    "HTTP/1.1 503 X\r\nPollenlever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// What a scripted target does with one request.
#[derive(Debug, Clone)]
pub(crate) enum Action {
    /// Answer with this status and body, echoing the request's id.
    Answer(u16, &'static str),
    /// Like `Answer` with status 200, without reading the body of the request; then close the connection.
    AnswerUnread(&'static str),
    /// Write this text, with `{id}` replaced by the request's id, without reading the body of the request;
    /// then reset the connection.
    WriteUnreadAndReset(&'static str),
    /// Like `Answer` with status 200, after this time.
    AnswerAfter(Duration, &'static str),
    /// Answer 503 with the header that says that the request was not run, echoing its id.
    Reject,
    /// Like `Reject`, without an id.
    RejectWithoutId,
    /// Run the request, and write the last rejection on the connection once more in place of the answer;
    /// answer 200 if there was none.
    RunAndRepeatRejection,
    /// Write this text, with `{id}` replaced by the request's id, and keep the connection open.
    Write(&'static str),
    /// Like `Write`, then close the connection.
    WriteAndClose(&'static str),
    /// Close the connection without an answer.
    Close,
    /// Close the connection without an answer if the request has this path, else answer 200.
    CloseOnPath(&'static str),
    /// Write the first text, with `{id}` replaced by the request's id, then the second one again and
    /// again until the caller closes the connection.
    Endless(&'static str, &'static str),
    /// Never answer; wait until the caller hangs up.
    Hang,
    /// Answer once the test calls [`ScriptedTarget::release`].
    Hold,
    /// Close the connection without an answer once the test calls [`ScriptedTarget::release`].
    HoldAndClose,
}

/// A request as it was received.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) head: String,
    pub(crate) body: String,
    pub(crate) at: Instant,
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
    script: Vec<Action>,
    arrivals: Vec<Arrival>,
    /// Ids of requests that were run by `Action::RunAndRepeatRejection`.
    runs: Vec<String>,
    connections: usize,
    hangups: usize,
    /// Bytes written by `Action::Endless`.
    endless_bytes: usize,
    /// Header lines that each answer has besides its own.
    stated: String,
}

/// A target that follows a script: one action per request; the last one repeats for all further
/// requests.
#[derive(Clone)]
pub(crate) struct ScriptedTarget {
    pub(crate) addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    released: Arc<Notify>,
}

impl ScriptedTarget {
    pub(crate) async fn start(script: &[Action]) -> ScriptedTarget {
        // The target has an IP address of its own, so that its connections differ from those of
        // callers.
        let listener = TcpListener::bind("127.0.0.2:0").await.unwrap();
        let target = ScriptedTarget {
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

    /// Ids of requests that were run by `Action::RunAndRepeatRejection`.
    pub(crate) fn runs(&self) -> Vec<String> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Number of connections accepted so far.
    pub(crate) fn connections(&self) -> usize {
        self.state.lock().unwrap().connections
    }

    /// Number of bytes that the target could write to answers without end.
    pub(crate) fn endless_bytes(&self) -> usize {
        self.state.lock().unwrap().endless_bytes
    }

    /// Sets header lines that each answer has from now on, besides its own.
    pub(crate) fn state(&self, lines: &str) {
        self.state.lock().unwrap().stated = lines.to_owned();
    }

    /// Lets the requests answered with `Action::Hold` be answered.
    pub(crate) fn release(&self) {
        self.released.notify_waiters();
    }

    /// Waits until `count` requests have arrived.
    pub(crate) async fn wait_for_arrivals(&self, count: usize) {
        self.wait_until(|it| it.arrivals.len() >= count).await;
    }

    /// Waits until `count` callers have hung up before their answer.
    pub(crate) async fn wait_for_hangups(&self, count: usize) {
        self.wait_until(|it| it.hangups >= count).await;
    }

    async fn wait_until(&self, is_met: impl Fn(&State) -> bool) {
        let met = async {
            loop {
                let next = self.changed.notified();
                if is_met(&self.state.lock().unwrap()) {
                    return;
                }
                next.await;
            }
        };
        tokio::time::timeout(WAIT, met)
            .await
            .expect("the awaited requests should reach the target");
    }

    async fn serve(&self, mut io: TcpStream) {
        let mut buf = Vec::new();
        // The last rejection on this connection.
        let mut rejection: Option<String> = None;
        while let Some(arrival) = self.read_request(&mut io, &mut buf).await {
            let id = arrival.header("pollenlever-request-id").unwrap_or_default();
            let path = arrival.head.split(' ').nth(1).unwrap_or_default().to_owned();
            let action = self.record_arrival(arrival);
            let answer = |status: u16, body: &str| {
                let stated = self.state.lock().unwrap().stated.clone();
                format!(
                    "HTTP/1.1 {status} X\r\nPollenlever-Request-Id: {id}\r\n{stated}\
                     Pollenlever-Proof: p\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            let (text, close) = match action {
                Action::Answer(status, body) => (answer(status, body), false),
                Action::AnswerUnread(body) => (answer(200, body), true),
                Action::WriteUnreadAndReset(text) => {
                    let _ = io.write_all(text.replace("{id}", &id).as_bytes()).await;
                    // The connection ends with a reset.
                    return io.set_zero_linger().unwrap();
                }
                Action::AnswerAfter(delay, body) => {
                    tokio::time::sleep(delay).await;
                    (answer(200, body), false)
                }
                Action::Reject => {
                    let text = REJECTION.replace("{id}", &id);
                    (rejection.insert(text).clone(), false)
                }
                Action::RejectWithoutId => {
                    (rejection.insert(REJECTION_WITHOUT_ID.to_owned()).clone(), false)
                }
                Action::RunAndRepeatRejection => {
                    self.state.lock().unwrap().runs.push(id.clone());
                    (rejection.clone().unwrap_or_else(|| answer(200, "ran")), false)
                }
                Action::Write(text) => (text.replace("{id}", &id), false),
                Action::WriteAndClose(text) => (text.replace("{id}", &id), true),
                Action::Close => return,
                Action::CloseOnPath(it) if it == path => return,
                Action::CloseOnPath(_) => (answer(200, "ran"), false),
                Action::Endless(start, repeated) => {
                    return self
                        .write_endless(&mut io, &start.replace("{id}", &id), repeated)
                        .await;
                }
                Action::Hang => return self.wait_until_closed(&mut io).await,
                Action::HoldAndClose => return self.released.notified().await,
                Action::Hold => {
                    let released = self.released.notified();
                    tokio::select! {
                        () = released => (answer(200, "held"), false),
                        () = self.wait_until_closed(&mut io) => return,
                    }
                }
            };
            if io.write_all(text.as_bytes()).await.is_err() || close {
                return;
            }
        }
    }

    async fn write_endless(&self, io: &mut TcpStream, start: &str, repeated: &str) {
        const BLOCK_BYTES: usize = 64 << 10;
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        let mut next = [start, &block].concat();
        while io.write_all(next.as_bytes()).await.is_ok() {
            self.state.lock().unwrap().endless_bytes += next.len();
            next.clone_from(&block);
        }
        self.state.lock().unwrap().hangups += 1;
        self.changed.notify_waiters();
    }

    async fn read_request(&self, io: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Arrival> {
        let mut bytes = [0; 4096];
        let head_len = loop {
            if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            let len = io.read(&mut bytes).await.ok().filter(|it| *it > 0)?;
            buf.extend_from_slice(&bytes[..len]);
        };
        let head = String::from_utf8(buf.drain(..head_len).collect()).unwrap();
        let mut arrival = Arrival { head, body: String::new(), at: Instant::now() };
        if matches!(self.next_action(), Action::AnswerUnread(_) | Action::WriteUnreadAndReset(_)) {
            return Some(arrival);
        }
        let len: usize = arrival.header("content-length").map_or(0, |it| it.parse().unwrap());
        while buf.len() < len {
            let len = io.read(&mut bytes).await.ok().filter(|it| *it > 0)?;
            buf.extend_from_slice(&bytes[..len]);
        }
        arrival.body = String::from_utf8(buf.drain(..len).collect()).unwrap();
        Some(arrival)
    }

    fn next_action(&self) -> Action {
        let state = self.state.lock().unwrap();
        state.script[state.arrivals.len().min(state.script.len() - 1)].clone()
    }

    fn record_arrival(&self, arrival: Arrival) -> Action {
        let action = self.next_action();
        self.state.lock().unwrap().arrivals.push(arrival);
        self.changed.notify_waiters();
        action
    }

    async fn wait_until_closed(&self, io: &mut TcpStream) {
        let mut bytes = [0; 64];
        while io.read(&mut bytes).await.is_ok_and(|it| it > 0) {}
        self.state.lock().unwrap().hangups += 1;
        self.changed.notify_waiters();
    }
}

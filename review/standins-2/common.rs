//! Stand-ins for the review scripts: the platform's store, backends, clients, and the platform that starts and
//! stops nodes. They use the standard library alone and loopback addresses only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit code of a case whose rule held.
pub const HELD: i32 = 0;
/// Exit code of a case whose rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const NOT_RUN: i32 = 2;

/// Longest run of a case.
const MAX_RUN: Duration = Duration::from_secs(115);

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

// ---------------------------------------------------------------- record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();
static FOLDER: OnceLock<PathBuf> = OnceLock::new();
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Opens `record.txt` in the case's folder, and ends the case if it takes too long.
pub fn begin(folder: &Path) {
    let file = File::create(folder.join("record.txt")).unwrap_or_else(|err| {
        eprintln!("cannot write the record: {err}");
        std::process::exit(NOT_RUN);
    });
    let _ = RECORD.set(Record { start: Instant::now(), file: Mutex::new(file) });
    std::panic::set_hook(Box::new(|panic| {
        note(&format!("the case could not run: {panic}"));
        finish(NOT_RUN);
    }));
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        note("the case took too long");
        finish(NOT_RUN);
    });
    note(&format!("trouble={}", has_trouble()));
}

/// Writes a line with the time since the start of the case.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap_or_else(|it| it.into_inner());
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Ends all started processes and exits with `code`.
pub fn finish(code: i32) -> ! {
    let children = CHILDREN.lock().unwrap_or_else(|it| it.into_inner());
    for child in children.iter() {
        let mut child = child.lock().unwrap_or_else(|it| it.into_inner());
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = FOLDER.get() {
        let _ = fs::remove_dir_all(folder);
    }
    note(match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    std::process::exit(code)
}

/// Polls `is_met` until it is true; ends the case as not run after `limit`.
pub fn wait_until(what: &str, limit: Duration, mut is_met: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !is_met() {
        if Instant::now() >= until {
            note(&format!("timed out waiting for: {what}"));
            finish(NOT_RUN);
        }
        thread::sleep(ms(20));
    }
}

// ---------------------------------------------------------------- HTTP

/// A request or an answer with a whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line: method and path of a request, status of an answer.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }
}

/// Reads messages from a stream, whose bytes behind a message are kept for the next one.
pub struct Reader {
    pub io: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(io: TcpStream) -> Reader {
        Reader { io, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 64 << 10];
        let len = self.io.read(&mut part)?;
        if len == 0 {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "connection closed"));
        }
        self.buf.extend_from_slice(&part[..len]);
        Ok(())
    }

    /// Reads a message with a `Content-Length` or a chunked body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    pub fn read_head(&mut self) -> io::Result<Message> {
        let head_len = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let head: Vec<u8> = self.buf.drain(..head_len).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|it| it.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Message { start, headers, body: Vec::new() })
    }

    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let coding = message.header("transfer-encoding");
        message.body = if coding.is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
            self.read_chunks()?
        } else {
            let len = message.header("content-length").and_then(|it| it.parse().ok());
            self.take(len.unwrap_or(0))?
        };
        Ok(())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line()?;
            let len = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "bad chunk"))?;
            body.extend(self.take(len)?);
            self.take_line()?;
            if len == 0 {
                return Ok(body);
            }
        }
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }
}

pub fn answer_head(status: u16, headers: &[(&str, &str)], body_len: usize) -> String {
    let reason = match status {
        200 => "OK",
        201 => "Created",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        421 => "Misdirected Request",
        _ => "Other",
    };
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {body_len}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head + "\r\n"
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut io = TcpStream::connect_timeout(&addr, limit)?;
    io.set_read_timeout(Some(limit))?;
    io.set_nodelay(true)?;
    io.write_all(request)?;
    Reader::new(io).read()
}

/// Text of a client's request.
pub fn client_request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &str) -> String {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
    )
}

/// Sends a client's request on a new connection. Returns the answer's status, or 0 without an answer.
pub fn call(addr: SocketAddr, method: &str, path: &str, id: &str, deadline_ms: u64) -> u16 {
    let request = client_request(method, path, id, deadline_ms, "");
    exchange(addr, request.as_bytes(), ms(deadline_ms)).map_or(0, |it| it.status())
}

// ---------------------------------------------------------------- JSON

/// The raw text of a field of a JSON object; `None` if it has no such field.
pub fn json_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|it| *it == b'"' || *it == b'}')?;
        if bytes[at] == b'}' {
            return None;
        }
        let key_end = json_value_end(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = key_end + bytes[key_end..].iter().position(|it| *it == b':')? + 1;
        at += bytes[at..].iter().position(|it| !it.is_ascii_whitespace())?;
        let end = json_value_end(bytes, at);
        if key == name {
            return Some(&text[at..end]);
        }
        at = end;
    }
}

/// End of the value that begins at `start`.
fn json_value_end(bytes: &[u8], start: usize) -> usize {
    let (mut depth, mut in_text, mut at) = (0, false, start);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if in_text => at += 1,
            b'"' => {
                in_text = !in_text;
                if !in_text && depth == 0 {
                    return at + 1;
                }
            }
            _ if in_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

// ---------------------------------------------------------------- store

/// The platform's store, as `PROTOCOL.md` describes it. Each machine reaches it by an address of its own, so that
/// it can turn single machines away.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    /// How often the store has come back from an older copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), (u64, u64, String)>,
    events: Vec<(u64, String, String, bool)>,
}

/// What the store comes back from in a drill.
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, u64, String)>,
}

/// How one machine reaches the store.
#[derive(Clone)]
pub struct StoreAccess {
    pub addr: SocketAddr,
    /// Whether the store answers this machine 503.
    pub refuses: Arc<AtomicBool>,
}

impl StoreState {
    fn object(name: &str, (revision, created, spec): &(u64, u64, String)) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created_rev":{created},"finalizers":[],"deletion_pending":false}},"spec":{spec},"status":null}}"#
        )
    }

    fn get(&self, kind: &str, name: &str) -> Option<String> {
        let found = self.objects.get(&(kind.to_owned(), name.to_owned()));
        found.map(|it| StoreState::object(name, it))
    }

    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |it| it.1);
        let value = (self.revision, created, spec.to_owned());
        let object = StoreState::object(name, &value);
        self.objects.insert(key, value);
        self.events.push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }
}

impl Store {
    /// Writes an object as the operator does.
    pub fn write(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().write(kind, name, spec);
        self.shared.1.notify_all();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.shared.0.lock().unwrap();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Comes back from a copy: what was written since is gone, and its revisions are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut state = self.shared.0.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.events.retain(|it| it.0 <= copy.revision);
        self.shared.1.notify_all();
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    /// Opens an address for one machine.
    pub fn open_access(&self) -> StoreAccess {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let access = StoreAccess { addr, refuses: Arc::default() };
        let (store, refuses) = (self.clone(), Arc::clone(&access.refuses));
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (store, refuses) = (store.clone(), Arc::clone(&refuses));
                thread::spawn(move || store.serve(io, &refuses));
            }
        });
        access
    }

    fn serve(&self, io: TcpStream, refuses: &AtomicBool) {
        let _ = io.set_nodelay(true);
        let Ok(mut out) = io.try_clone() else { return };
        let mut reader = Reader::new(io);
        while let Ok(request) = reader.read() {
            let (status, body) = if refuses.load(Ordering::Relaxed) {
                (503, "null".to_owned())
            } else {
                let answered = self.answer(&request);
                // A machine that is turned away meanwhile has its waiting watch cut off.
                if refuses.load(Ordering::Relaxed) { (503, "null".to_owned()) } else { answered }
            };
            let era = self.shared.0.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            let head = answer_head(status, &headers, body.len());
            if out.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/v1/objects/") else { return (404, "null".into()) };
        let (kind, name) = path.split_once('/').map_or((path, None), |(a, b)| (a, Some(b)));
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (lock, changed) = &*self.shared;
        let answered = match (request.word(0), name) {
            ("GET", None) if query.contains_key("watch") => return self.watch(kind, &query),
            ("GET", None) => {
                let state = lock.lock().unwrap();
                let of_kind = state.objects.iter().filter(|(key, _)| key.0 == kind);
                let items: Vec<String> =
                    of_kind.map(|(key, value)| StoreState::object(&key.1, value)).collect();
                let at = state.revision;
                let items = items.join(",");
                (200, format!(r#"{{"items":[{items}],"has_more":false,"at_rev":{at}}}"#))
            }
            ("GET", Some(name)) => match lock.lock().unwrap().get(kind, name) {
                Some(object) => (200, object),
                None => (404, "null".to_owned()),
            },
            ("POST", None) => {
                let metadata = json_field(&body, "metadata").unwrap_or("{}");
                let name = json_field(metadata, "name").unwrap_or("\"\"").trim_matches('"');
                let mut state = lock.lock().unwrap();
                match state.get(kind, name) {
                    Some(object) => (409, object),
                    None => {
                        (201, state.write(kind, name, json_field(&body, "spec").unwrap_or("null")))
                    }
                }
            }
            ("PUT", Some(name)) => {
                let metadata = json_field(&body, "metadata").unwrap_or("{}");
                let expected: Option<u64> =
                    json_field(metadata, "revision").and_then(|it| it.trim().parse().ok());
                let spec = json_field(&body, "spec").unwrap_or("null");
                let mut state = lock.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key).cloned() {
                    None => (404, "null".to_owned()),
                    Some(found) if expected.is_some_and(|it| it != found.0) => {
                        (409, StoreState::object(name, &found))
                    }
                    Some(found) if found.2 == spec => (200, StoreState::object(name, &found)),
                    Some(_) => (200, state.write(kind, name, spec)),
                }
            }
            ("DELETE", Some(name)) => {
                let expected: Option<u64> = query.get("revision").and_then(|it| it.parse().ok());
                let mut state = lock.lock().unwrap();
                let key = (kind.to_owned(), name.to_owned());
                match state.objects.get(&key).cloned() {
                    None => (404, "null".to_owned()),
                    Some(found) if expected.is_some_and(|it| it != found.0) => {
                        (409, StoreState::object(name, &found))
                    }
                    Some(found) => {
                        state.objects.remove(&key);
                        state.revision += 1;
                        let object = StoreState::object(name, &found);
                        let event = (state.revision, kind.to_owned(), object.clone(), true);
                        state.events.push(event);
                        (200, object)
                    }
                }
            }
            _ => (404, "null".to_owned()),
        };
        changed.notify_all();
        answered
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name| query.get(name).and_then(|it: &&str| it.parse::<u64>().ok());
        let since = number("watch").unwrap_or_default();
        let until = Instant::now() + ms(number("wait_ms").unwrap_or_default());
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        let era = state.era;
        loop {
            if era != state.era {
                return (503, "null".to_owned());
            }
            if since > state.revision {
                return (410, "null".to_owned());
            }
            let later = state.events.iter().filter(|it| it.0 > since && it.1 == kind);
            let events: Vec<String> =
                later.map(|it| format!(r#"{{"object":{},"deleted":{}}}"#, it.2, it.3)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"at_rev":{at}}}"#));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- backend

/// A request that a backend began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub path: String,
}

/// How a backend answers.
#[derive(Clone, Copy)]
pub struct Service {
    /// Time that a run takes.
    pub work: Duration,
    /// Length of the body of an answer.
    pub answer_bytes: usize,
    /// Time until it begins to read the body of a request.
    pub read_pause: Duration,
    /// Time over which it sends an answer.
    pub send_time: Duration,
}

impl Service {
    /// A service whose backends read and send at full speed.
    pub fn new(work: Duration, answer_bytes: usize) -> Service {
        Service { work, answer_bytes, read_pause: Duration::ZERO, send_time: Duration::ZERO }
    }
}

/// Parts in which a slow backend sends an answer.
const SLOW_PARTS: u32 = 50;

/// A backend, as `PROTOCOL.md` describes it.
pub struct Backend {
    pub id: String,
    pub born: u64,
    pub addr: SocketAddr,
    pub service: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub answered: Arc<AtomicUsize>,
    /// Ids of the requests whose answers it could not send whole, as the connection was closed.
    pub cut: Arc<Mutex<Vec<String>>>,
    sequence: AtomicU64,
}

impl Backend {
    pub fn start(id: &str, service: &str, ip: Ipv4Addr, how: Service) -> Backend {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let answered: Arc<AtomicUsize> = Arc::default();
        let cut: Arc<Mutex<Vec<String>>> = Arc::default();
        let (own, served, done) = (id.to_owned(), Arc::clone(&runs), Arc::clone(&answered));
        let lost = Arc::clone(&cut);
        thread::spawn(move || {
            for io in listener.incoming().flatten() {
                let (own, runs, done) = (own.clone(), Arc::clone(&served), Arc::clone(&done));
                let cut = Arc::clone(&lost);
                thread::spawn(move || serve_backend(io, &own, &runs, &done, &cut, how));
            }
        });
        Backend {
            id: id.to_owned(),
            born: unix_ms(),
            addr,
            service: service.to_owned(),
            runs,
            answered,
            cut,
            sequence: AtomicU64::new(0),
        }
    }

    /// Text of the next heartbeat.
    pub fn heartbeat(&self, zone: &str, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let (id, born, addr, service) = (&self.id, self.born, self.addr, &self.service);
        let body = format!(
            r#"{{"address":"{addr}","born":{born},"info":{{"service":"{service}","version":"v1","zone":"{zone}","slots":64}},"status":{{"state":"{state}","sequence":{sequence},"cold_remaining_s":0}}}}"#
        );
        post_text(&format!("/v1/instances/{id}/heartbeat"), &body)
    }

    /// Text of the notice that the backend shuts down.
    pub fn deregistration(&self) -> String {
        let (id, born) = (&self.id, self.born);
        post_text(&format!("/v1/instances/{id}/deregister"), &format!(r#"{{"born":{born}}}"#))
    }
}

fn post_text(path: &str, body: &str) -> String {
    let len = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n\
         Content-Length: {len}\r\n\r\n{body}"
    )
}

/// Sends a heartbeat or a deregistration. Returns the status of the answer; 0 if none came within a second.
pub fn tell(control: SocketAddr, text: &str) -> u16 {
    exchange(control, text.as_bytes(), ms(1000)).map_or(0, |it| it.status())
}

fn serve_backend(
    io: TcpStream,
    own: &str,
    runs: &Mutex<Vec<Run>>,
    answered: &AtomicUsize,
    cut: &Mutex<Vec<String>>,
    how: Service,
) {
    let _ = io.set_nodelay(true);
    let Ok(mut out) = io.try_clone() else { return };
    let mut reader = Reader::new(io);
    while let Ok(mut request) = reader.read_head() {
        if request.header("content-length").is_some() {
            thread::sleep(how.read_pause);
        }
        if reader.read_body(&mut request).is_err() {
            return;
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("target-instance").is_some_and(|it| it != own) {
            let head = answer_head(421, &[("Instance-Id", own), ("Not-Executed", "1")], 0);
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let path = request.word(1).to_owned();
        runs.lock().unwrap().push(Run { id: id.clone(), at: Instant::now(), path });
        thread::sleep(how.work);
        // An upload gets a short answer.
        let len = if request.body.is_empty() { how.answer_bytes } else { 10 };
        let body = vec![b'x'; len];
        let signature = format!("signed.{own}.{id}");
        let headers = [("Request-Id", id.as_str()), ("Server-Signature", signature.as_str())];
        let head = answer_head(200, &headers, body.len());
        if send_answer(&mut out, &head, &body, how.send_time).is_err() {
            cut.lock().unwrap().push(id);
            return;
        }
        answered.fetch_add(1, Ordering::Relaxed);
    }
}

/// Sends an answer at once, or in parts over `time`.
fn send_answer(out: &mut TcpStream, head: &str, body: &[u8], time: Duration) -> io::Result<()> {
    if time.is_zero() {
        return out.write_all(&[head.as_bytes(), body].concat());
    }
    out.write_all(head.as_bytes())?;
    for part in body.chunks(body.len().div_ceil(SLOW_PARTS as usize).max(1)) {
        out.write_all(part)?;
        thread::sleep(time / SLOW_PARTS);
    }
    Ok(())
}

// ---------------------------------------------------------------- machines

/// Host of all routes.
pub const HOST: &str = "hulo84.example";

/// A machine with a node of the project and a backend.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub backend: Backend,
    pub store: StoreAccess,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    child: Arc<Mutex<Child>>,
    pub is_heartbeat_on: Arc<AtomicBool>,
}

/// Root of the project, in which the programs run.
pub fn project() -> PathBuf {
    std::env::current_dir().expect("a current folder")
}

/// A loopback address that this run alone uses.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 32 + (pid >> 8) as u8 % 200, pid as u8, number)
}

/// Four different ports that are free at `ip`.
fn free_addresses(ip: Ipv4Addr) -> [SocketAddr; 4] {
    let listeners: [TcpListener; 4] =
        std::array::from_fn(|_| TcpListener::bind((ip, 0)).expect("a free port"));
    listeners.map(|it| it.local_addr().expect("a bound listener has an address"))
}

impl Machine {
    /// Starts the node with settings from the project's template, and the heartbeats of its backend.
    pub fn start(
        number: u8,
        zone: &str,
        service: &str,
        store: StoreAccess,
        how: Service,
    ) -> Machine {
        let ip = machine_ip(number);
        let backend = Backend::start(&format!("i-{number:04x}"), service, ip, how);
        let folder =
            std::env::temp_dir().join(format!("pollenlever-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let _ = FOLDER.set(folder.clone());
        let settings = folder.join(format!("node-{number}.ini"));
        let [callers, peer, ready, control] = free_addresses(ip);
        let name = format!("sidecar-{zone}-{number}");
        let fields = [
            ("node_name", name.clone()),
            ("listen_addrs.outbound", callers.to_string()),
            ("listen_addrs.inbound", peer.to_string()),
            ("listen_addrs.ready", ready.to_string()),
            ("listen_addrs.control", control.to_string()),
            ("ip", ip.to_string()),
            ("region", "lombardia".to_owned()),
            ("zone", zone.to_owned()),
            ("app_addr", backend.addr.to_string()),
            ("service", service.to_owned()),
            ("platform.address", store.addr.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.budget_slack", "48".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
        ];
        let template = project().join("platform/settings.ini");
        let mut text = fs::read_to_string(template).expect("the template of the settings");
        for (field, value) in &fields {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        assert!(!text.contains("{{"), "a field of the settings is not known");
        fs::write(&settings, text).expect("settings");
        let child = Arc::new(Mutex::new(spawn(&settings, &folder, &name)));
        CHILDREN.lock().unwrap().push(Arc::clone(&child));
        let machine = Machine {
            name,
            zone: zone.to_owned(),
            ip,
            backend,
            store,
            callers,
            ready,
            control,
            folder,
            settings,
            child,
            is_heartbeat_on: Arc::new(AtomicBool::new(true)),
        };
        note(&format!("started {} at {ip}, backend {}", machine.name, machine.backend.id));
        machine
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends a signal to the node.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
        assert!(sent.is_ok_and(|it| it.success()), "cannot send a signal");
        note(&format!("{} gets SIG{name}", self.name));
    }

    /// Waits until the node has ended; sends SIGKILL after `grace`.
    pub fn wait_for_end(&self, grace: Duration) {
        let until = Instant::now() + grace;
        loop {
            let mut child = self.child.lock().unwrap();
            if child.try_wait().is_ok_and(|it| it.is_some()) {
                note(&format!("{} has ended", self.name));
                return;
            }
            if Instant::now() >= until {
                let _ = child.kill();
            }
            drop(child);
            thread::sleep(ms(10));
        }
    }

    /// Kills the node as the platform does when it exceeds its memory.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the node again.
    pub fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings, &self.folder, &self.name);
        note(&format!("{} is started again", self.name));
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n";
        exchange(self.ready, request, ms(1000)).is_ok_and(|it| it.status() == 200)
    }

    /// Sends a heartbeat now.
    pub fn report(&self, state: &str) -> u16 {
        tell(self.control, &self.backend.heartbeat(&self.zone, state))
    }

    /// Bytes of memory that the node takes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or_default();
        let kib: u64 = line.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        kib << 10
    }

    /// Copies the lines into the record that the node has logged since its last start about `events`.
    pub fn note_log(&self, events: &[&str]) {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name)));
        for line in log.unwrap_or_default().lines() {
            if events.iter().any(|it| line.contains(&format!("event={it}"))) {
                note(&format!("log of {}: {line}", self.name));
            }
        }
    }
}

/// Sends the heartbeats of a machine's backend every 1.5 s, as long as they are on.
pub fn spawn_heartbeats(machine: &Arc<Machine>) {
    let machine = Arc::clone(machine);
    thread::spawn(move || {
        loop {
            if machine.is_heartbeat_on.load(Ordering::Relaxed) {
                machine.report("ready");
            }
            thread::sleep(ms(1500));
        }
    });
}

/// Starts the program as the deploy file says, with another path of the settings.
fn spawn(settings: &Path, folder: &Path, name: &str) -> Child {
    let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
    Command::new("target/release/pollenlever-sidecar")
        .arg("--settings")
        .arg(settings)
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("POLLENLEVER_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|err| {
            note(&format!("cannot start target/release/pollenlever-sidecar: {err}"));
            finish(NOT_RUN)
        })
}

/// A configuration with one route for each service, whose prefix is the service's name.
pub fn config(version: u64, routes: &[(&str, &str, f64)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(service, kind, timeout)| {
            format!(
                r#"{{"name":"r-{service}","host":"{HOST}","path_prefix":"/{service}/","route_type":"{kind}","timeout_s":{timeout},"target_latency_s":1.5,"priority":1,"service":"{service}","weighted_targets":[],"max_attempts":2}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[],"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        routes.join(",")
    )
}

/// Closes a connection in both directions.
pub fn close(io: &TcpStream) {
    let _ = io.shutdown(Shutdown::Both);
}

//! Stand-ins for the platform's store, backends, clients and the platform itself, with the standard
//! library alone. They speak what the platform's protocol page says. Each case includes this file.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case: the rule held, it was broken, or the case could not run.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is made; `TROUBLE=0` switches it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Ports of a node and its backend, below those of outgoing connections: outbound, inbound, ready,
/// control, backend, metrics.
const PORTS: [u16; 6] = [8304, 8300, 8302, 8306, 8301, 9464];

/// A loopback address on which all ports of a machine are free; each machine has one of its own.
fn machine_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        if number > 250 {
            give_up("no loopback address with free ports");
        }
        let ip =
            [127, 64 + (process % 128) as u8, (process / 128 % 250) as u8, number as u8].into();
        if PORTS.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
}

/// Small random numbers from a seed.
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn chance(&mut self, share: f64) -> bool {
        (self.next() >> 11) as f64 / ((1u64 << 53) as f64) < share
    }
}

// ---------------------------------------------------------------- record

/// Writes `record.txt`: what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", self.now());
    }

    /// A line that is printed too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.now());
    }

    pub fn sleep_until(&self, seconds: f64) {
        let left = seconds - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Msg {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Msg {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name)).map(|it| &*it.1)
    }

    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|it| it.to_ascii_lowercase().contains("close"))
    }
}

/// Reads one message with a `Content-Length` or none; later bytes stay in `buf`. `None` if the
/// connection ends before a whole message has come.
pub fn read_msg(io: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Msg> {
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        fill(io, buf)?;
    };
    let head: Vec<u8> = buf.drain(..head_len).collect();
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_owned();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned())).collect();
    let mut msg = Msg { start, headers, body: Vec::new() };
    let len = msg.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    while buf.len() < len {
        fill(io, buf)?;
    }
    msg.body = buf.drain(..len).collect();
    Some(msg)
}

fn fill(io: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16 << 10];
    match io.read(&mut bytes) {
        Ok(0) | Err(_) => None,
        Ok(len) => {
            buf.extend_from_slice(&bytes[..len]);
            Some(())
        }
    }
}

pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body.to_vec()].concat()
}

/// Sends one request on a new connection. Returns its answer, if there is one within `wait`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<Msg> {
    let mut io = TcpStream::connect_timeout(&addr, wait).ok()?;
    let _ = io.set_nodelay(true);
    io.set_read_timeout(Some(wait)).ok()?;
    io.write_all(&request_bytes(method, path, headers, body)).ok()?;
    read_msg(&mut io, &mut Vec::new())
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if !body.is_empty() {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    [head.into_bytes(), body.to_vec()].concat()
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for io in listener.incoming().flatten() {
            let _ = io.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(io));
        }
    });
}

// ---------------------------------------------------------------- JSON, as much as the store needs

/// The text of the value of `key` at the top level of a JSON object.
pub fn json_field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at += bytes[at..].iter().position(|it| *it == b'"' || *it == b'}')?;
        if bytes[at] == b'}' {
            return None;
        }
        let name_end = skip_value(bytes, at)?;
        let name = &text[at + 1..name_end - 1];
        at = name_end + bytes[name_end..].iter().position(|it| *it == b':')? + 1;
        at += bytes[at..].iter().position(|it| !it.is_ascii_whitespace())?;
        let end = skip_value(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = end;
    }
}

/// The end of the JSON value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth > 0 => {
                depth -= 1;
                at += 1;
            }
            b',' | b'}' | b']' if depth == 0 => return Some(at),
            _ => {
                at += 1;
                continue;
            }
        }
        if depth == 0 {
            return Some(at);
        }
    }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Default, Clone)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object as JSON, and whether it was deleted.
    events: Vec<(u64, String, String, bool)>,
    /// Number of times that the store has come back from a copy; the header `Store-Era`.
    era: u64,
    /// Whether the store is away: connections are closed without an answer.
    is_away: bool,
}

/// A copy of the store's content.
pub struct Copy(StoreState);

/// The platform's metadata store. Each node has a door (an address) of its own, so that the store
/// can turn away single machines.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    record: Record,
}

/// One machine's way to the store.
#[derive(Clone)]
pub struct Door {
    pub addr: SocketAddr,
    /// Whether calls are answered with 503, which means that nothing was done.
    pub busy: Arc<AtomicBool>,
}

impl Store {
    pub fn new(record: &Record) -> Store {
        let state = StoreState { revision: 100, ..StoreState::default() };
        Store { state: Arc::new((Mutex::new(state), Condvar::new())), record: record.clone() }
    }

    /// Opens a door; `name` is who uses it.
    pub fn door(&self, name: &str) -> Door {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let door = Door { addr, busy: Arc::default() };
        let (store, name, busy) = (self.clone(), name.to_owned(), Arc::clone(&door.busy));
        serve(listener, move |mut io| {
            let mut buf = Vec::new();
            while let Some(req) = read_msg(&mut io, &mut buf) {
                thread::sleep(ms(4));
                let (status, body) = if store.is_away() {
                    (0, String::new())
                } else if busy.load(Ordering::SeqCst) {
                    (503, "{}".to_owned())
                } else {
                    store.handle(&req)
                };
                if status == 0 {
                    return;
                }
                let era = store.era().to_string();
                let is_read = req.word(0) == "GET";
                if !is_read || status == 503 {
                    store.record.line(&format!("store: {name} {} -> {status}", req.start));
                }
                let headers = [("Content-Type", "application/json"), ("Store-Era", &*era)];
                if io.write_all(&answer_bytes(status, &headers, body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        door
    }

    /// Number of times that the store has come back from a copy.
    pub fn era(&self) -> u64 {
        self.state.0.lock().unwrap().era
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().revision
    }

    fn is_away(&self) -> bool {
        self.state.0.lock().unwrap().is_away
    }

    /// A copy of the present content.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().clone())
    }

    /// Goes away: cuts waiting watches, and closes connections without an answer from now on.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back with the content of a copy, and as the next era. What was written since the copy is
    /// gone, and its revisions are given out again.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = StoreState { era, is_away: false, ..copy.0 };
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.write(kind, name, spec);
        self.state.1.notify_all();
    }

    /// The `spec` of an object, if it exists.
    pub fn spec(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|it| it.spec.clone())
    }

    fn handle(&self, req: &Msg) -> (u16, String) {
        let (path, query) = req.word(1).split_once('?').unwrap_or((req.word(1), ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let Some(path) = path.strip_prefix("/v1/objects/") else { return (404, "{}".into()) };
        let (kind, name) = path.split_once('/').map_or((path, None), |(a, b)| (a, Some(b)));
        let body = String::from_utf8_lossy(&req.body).into_owned();
        match (req.word(0), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.state.0.lock().unwrap().list(kind),
            ("GET", Some(name)) => self.state.0.lock().unwrap().get(kind, name),
            (method, name) => {
                let mut state = self.state.0.lock().unwrap();
                let result = state.change(method, kind, name, &body, &query);
                self.state.1.notify_all();
                result
            }
        }
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |key| query.get(key).and_then(|it| it.parse().ok()).unwrap_or(0u64);
        let until = Instant::now() + ms(number("wait_ms"));
        let since = number("watch");
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_away {
                return (0, String::new());
            }
            // A revision that the store doesn't have.
            if since > state.revision {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|it| it.0 > since && it.1 == kind)
                .map(|it| format!("{{\"object\":{},\"deleted\":{}}}", it.2, it.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"at_rev\":{}}}", state.revision);
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl StoreState {
    fn json(name: &str, it: &Object) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_rev\":{},\
             \"finalizers\":[],\"deletion_pending\":false}},\"spec\":{},\"status\":null}}",
            it.revision, it.created, it.spec
        )
    }

    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        let created = self.objects.get(&key).map_or(self.revision, |it| it.created);
        let object = Object { revision: self.revision, created, spec: spec.to_owned() };
        let text = StoreState::json(name, &object);
        self.objects.insert(key, object);
        self.events.push((self.revision, kind.to_owned(), text.clone(), false));
        text
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(it) => (200, StoreState::json(name, it)),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let items: Vec<String> = self
            .objects
            .iter()
            .filter(|it| it.0.0 == kind)
            .map(|it| StoreState::json(&it.0.1, it.1))
            .collect();
        let items = items.join(",");
        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at_rev\":{}}}", self.revision))
    }

    fn change(
        &mut self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        body: &str,
        query: &BTreeMap<&str, &str>,
    ) -> (u16, String) {
        let metadata = json_field(body, "metadata").unwrap_or("{}");
        let named = json_field(metadata, "name").map(|it| it.trim_matches('"').to_owned());
        let Some(name) = name.map(str::to_owned).or(named) else { return (400, "{}".into()) };
        let spec = json_field(body, "spec").unwrap_or("null");
        let expected = json_field(metadata, "revision").or(query.get("revision").copied());
        let expected: Option<u64> = expected.and_then(|it| it.parse().ok());
        let current = self.objects.get(&(kind.to_owned(), name.clone()));
        let current_json = current.map(|it| StoreState::json(&name, it));
        let is_stale = current.is_some_and(|it| expected.is_some_and(|e| e != it.revision));
        match (method, current_json) {
            ("POST", Some(current)) => (409, current),
            ("POST", None) => (200, self.write(kind, &name, spec)),
            (_, None) => (404, "{}".to_owned()),
            (_, Some(current)) if is_stale => (409, current),
            ("PUT", Some(_)) => (200, self.write(kind, &name, spec)),
            ("DELETE", Some(current)) => {
                self.revision += 1;
                self.objects.remove(&(kind.to_owned(), name));
                self.events.push((self.revision, kind.to_owned(), current.clone(), true));
                (200, current)
            }
            _ => (405, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- nodes

/// A node of the project on a machine of its own (that is, with addresses of its own).
pub struct Node {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub inbound: SocketAddr,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub app: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    record: Record,
}

impl Node {
    /// Fills in the project's settings template as the platform does and starts the process with
    /// the command of the deploy file.
    pub fn start(
        record: &Record,
        folder: &str,
        name: &str,
        zone: &str,
        service: &str,
        door: &Door,
    ) -> Arc<Node> {
        let ip = machine_ip();
        let [outbound, inbound, ready, control, app, _] =
            PORTS.map(|it| SocketAddr::from((ip, it)));
        let node = Node {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            inbound,
            outbound,
            ready,
            control,
            app,
            settings: PathBuf::from(format!("{folder}/{name}.ini")),
            log: PathBuf::from(format!("{folder}/{name}.log")),
            child: Mutex::new(None),
            record: record.clone(),
        };
        let template = std::fs::read_to_string("platform/settings.ini");
        let Ok(mut text) = template else { give_up("platform/settings.ini cannot be read") };
        for (field, value) in [
            ("{{node_name}}", name.to_owned()),
            ("{{listen_addrs.outbound}}", node.outbound.to_string()),
            ("{{listen_addrs.inbound}}", node.inbound.to_string()),
            ("{{listen_addrs.ready}}", node.ready.to_string()),
            ("{{listen_addrs.control}}", node.control.to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{region}}", "sudvestur".to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{app_addr}}", node.app.to_string()),
            ("{{service}}", service.to_owned()),
            ("{{platform.address}}", door.addr.to_string()),
            ("{{bounds.retry_budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
            ("{{bounds.budget_slack}}", "49".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
        ] {
            text = text.replace(field, &value);
        }
        if text.contains("{{") {
            give_up("the settings template has a field that this stand-in does not know");
        }
        if std::fs::write(&node.settings, text).is_err() {
            give_up("the settings cannot be written");
        }
        let node = Arc::new(node);
        node.launch();
        node
    }

    /// Starts the process.
    pub fn launch(&self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new("target/release/pollenlever-sidecar")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        let Ok(child) = child else { give_up("target/release/pollenlever-sidecar does not start") };
        self.record.say(&format!("platform: {} started, process {}", self.name, child.id()));
        STARTED.lock().unwrap().push(child.id());
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let mut started = STARTED.lock().unwrap();
            started.retain(|it| *it != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid();
        if pid > 0 {
            send_signal(pid, name);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        // A process that has exited stays a zombie until `kill` reaps it, so that its id is not reused.
        child.as_mut().is_none_or(|it| is_zombie(it.id()))
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/v1/ready", &[("Host", "x")], b"", ms(1000));
        answer.is_some_and(|it| it.status() == 200)
    }
}

/// Whether a child process has ended and was not reaped.
fn is_zombie(pid: u32) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_none_or(|it| it.is_empty() || it.starts_with('Z'))
}

/// Processes that this case has started and not yet reaped.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal with the shell's own `kill`.
fn send_signal(pid: u32, name: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

/// Ends all processes that the case has started, and then the case itself.
pub fn finish(code: i32) -> ! {
    for pid in STARTED.lock().unwrap().drain(..) {
        send_signal(pid, "KILL");
    }
    std::process::exit(code);
}

/// Ends the case as one that could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("case cannot run: {reason}");
    finish(NOT_RUN);
}

/// Waits until a condition holds, or gives the case up.
pub fn wait_for(what: &str, seconds: u64, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        thread::sleep(ms(50));
    }
    eprintln!("timed out waiting for: {what}");
    false
}

// ---------------------------------------------------------------- backends

/// What a backend does with a request that it may run.
pub enum Act {
    /// Runs it for this time and answers 200.
    Run(Duration),
    /// Rejects it with status 503 and `Not-Executed`.
    Reject,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub backend: String,
    pub start: f64,
    /// When it ended; `None` while it runs, or if the connection closed before.
    pub end: Option<f64>,
}

/// All runs of all backends.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().unwrap().clone()
    }
}

type Decide = Box<dyn Fn(&Msg) -> Act + Send + Sync>;
type Garble = Box<dyn Fn(&[u8]) -> bool + Send + Sync>;

/// A backend beside a node.
pub struct Backend {
    pub instance: String,
    pub service: String,
    pub born: u64,
    pub control: SocketAddr,
    pub slots: u32,
    sequence: AtomicU64,
    running: AtomicU32,
    /// Whether its heartbeats go on.
    pub beats: AtomicBool,
    /// Whether the process is gone: it accepts nothing more and answers nothing more.
    pub gone: AtomicBool,
    record: Record,
    runs: Runs,
    decide: Decide,
    /// Whether an answer, given by its bytes, is followed later by a copy of itself.
    sends_extra: Garble,
    pub extras: AtomicU64,
    pub answers: AtomicU64,
}

impl Backend {
    /// Starts a backend beside `node`, with heartbeats every 1.5 s.
    pub fn start(
        record: &Record,
        runs: &Runs,
        node: &Node,
        instance: &str,
        decide: impl Fn(&Msg) -> Act + Send + Sync + 'static,
        sends_extra: impl Fn(&[u8]) -> bool + Send + Sync + 'static,
    ) -> Arc<Backend> {
        let Ok(listener) = TcpListener::bind(node.app) else {
            give_up("a backend's port is taken")
        };
        let backend = Arc::new(Backend {
            instance: instance.to_owned(),
            service: node.service.clone(),
            born: unix_ms(),
            control: node.control,
            slots: 36,
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            beats: AtomicBool::new(true),
            gone: AtomicBool::new(false),
            record: record.clone(),
            runs: runs.clone(),
            decide: Box::new(decide),
            sends_extra: Box::new(sends_extra),
            extras: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        let server = Arc::clone(&backend);
        serve(listener, move |io| server.serve(io));
        let reporter = Arc::clone(&backend);
        thread::spawn(move || {
            while !reporter.gone.load(Ordering::SeqCst) {
                let mut is_acked = false;
                if reporter.beats.load(Ordering::SeqCst) {
                    let body = reporter.beat_body("ready");
                    is_acked = reporter.send_beat(&body);
                }
                thread::sleep(ms(if is_acked { 1500 } else { 300 }));
            }
        });
        backend
    }

    /// Body of the next heartbeat.
    pub fn beat_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"address\":\"127.0.0.1:1\",\"born\":{},\"info\":{{\"service\":\"{}\",\
             \"version\":\"v1\",\"zone\":\"z\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"cold_remaining_s\":0}}}}",
            self.born, self.service, self.slots
        )
    }

    /// Sends a heartbeat; returns whether it was confirmed.
    pub fn send_beat(&self, body: &str) -> bool {
        self.post("heartbeat", body)
    }

    /// Deregisters; returns whether it was confirmed.
    pub fn deregister(&self) -> bool {
        self.beats.store(false, Ordering::SeqCst);
        self.post("deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn post(&self, what: &str, body: &str) -> bool {
        let path = format!("/v1/instances/{}/{what}", self.instance);
        let headers =
            [("Host", "x"), ("Content-Type", "application/json"), ("Connection", "close")];
        let answer = call(self.control, "POST", &path, &headers, body.as_bytes(), ms(1000));
        let status = answer.map_or(0, |it| it.status());
        if what == "deregister" || status != 200 {
            self.record.line(&format!("backend {}: {what} {body} -> {status}", self.instance));
        }
        (200..300).contains(&status)
    }

    fn serve(&self, mut io: TcpStream) {
        let mut buf = Vec::new();
        let mut extra: Option<Vec<u8>> = None;
        while let Some(req) = read_msg(&mut io, &mut buf) {
            if self.gone.load(Ordering::SeqCst) {
                return;
            }
            if let Some(bytes) = extra.take() {
                let line = String::from_utf8_lossy(&bytes).replace("\r\n", " ");
                self.record.line(&format!(
                    "backend {}: late extra answer [{}] where the answer to {} is expected",
                    self.instance,
                    line.trim(),
                    req.header("request-id").unwrap_or("-")
                ));
                if io.write_all(&bytes).is_err() {
                    return;
                }
            }
            let bytes = self.answer(&req, &io);
            let Some(bytes) = bytes else { return };
            if self.gone.load(Ordering::SeqCst) || io.write_all(&bytes).is_err() {
                return;
            }
            self.answers.fetch_add(1, Ordering::SeqCst);
            if (self.sends_extra)(&bytes) {
                self.extras.fetch_add(1, Ordering::SeqCst);
                extra = Some(bytes);
            }
        }
    }

    /// The answer to a request; `None` if the connection closed meanwhile.
    fn answer(&self, req: &Msg, io: &TcpStream) -> Option<Vec<u8>> {
        let id = req.header("request-id").unwrap_or("").to_owned();
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        let common = [("Request-Id", &*id), ("Server-Load", &*load)];
        let with = |more: &[(&'static str, String)]| -> Vec<(String, String)> {
            let own = common.iter().map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
            own.chain(more.iter().map(|(k, v)| ((*k).to_owned(), v.clone()))).collect()
        };
        let build = |status, headers: Vec<(String, String)>, body: &[u8]| {
            let headers: Vec<(&str, &str)> = headers.iter().map(|(k, v)| (&**k, &**v)).collect();
            answer_bytes(status, &headers, body)
        };
        let not_run = || ("Not-Executed", "1".to_owned());
        if req.header("target-instance").is_some_and(|it| it != self.instance) {
            let headers = with(&[not_run(), ("Instance-Id", self.instance.clone())]);
            return Some(build(421, headers, b""));
        }
        let act = (self.decide)(req);
        let is_full = self.running.load(Ordering::SeqCst) >= 2 * self.slots;
        let time = match act {
            Act::Run(time) if !is_full => time,
            _ => {
                self.record.line(&format!("backend {}: {id} rejected, not run", self.instance));
                return Some(build(503, with(&[not_run()]), b""));
            }
        };
        self.running.fetch_add(1, Ordering::SeqCst);
        let start = self.record.now();
        let at = {
            let mut runs = self.runs.0.lock().unwrap();
            runs.push(Run { id: id.clone(), backend: self.instance.clone(), start, end: None });
            runs.len() - 1
        };
        self.record.line(&format!("backend {}: {id} run begins ({})", self.instance, req.start));
        let is_open = self.work(time, io);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if !is_open {
            self.record
                .line(&format!("backend {}: {id} connection closed during the run", self.instance));
            return None;
        }
        let end = self.record.now();
        self.runs.0.lock().unwrap()[at].end = Some(end);
        self.record.line(&format!("backend {}: {id} run ends, 200", self.instance));
        let signature = ("Server-Signature", format!("{}.{at}", self.instance));
        Some(build(200, with(&[signature]), format!("done {id} run {at}").as_bytes()))
    }

    /// Works for a time. Returns whether the connection is still open and the process not gone.
    fn work(&self, time: Duration, io: &TcpStream) -> bool {
        let until = Instant::now() + time;
        let mut byte = [0];
        let _ = io.set_nonblocking(true);
        let mut is_open = true;
        while Instant::now() < until && is_open && !self.gone.load(Ordering::SeqCst) {
            thread::sleep(until.saturating_duration_since(Instant::now()).min(ms(10)));
            is_open = !matches!(io.peek(&mut byte), Ok(0));
        }
        let _ = io.set_nonblocking(false);
        is_open && !self.gone.load(Ordering::SeqCst)
    }
}

// ---------------------------------------------------------------- configuration

/// A route of the operator's configuration.
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_s: f64,
}

/// The operator's configuration, with the limits of the pages' example.
pub fn config(version: u32, routes: &[Route], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"r{}\",\"host\":\"{}\",\"path_prefix\":\"{}\",\"route_type\":\"{}\",\
                 \"timeout_s\":{},\"target_latency_s\":2,\"priority\":0,\"service\":\"{}\",\
                 \"max_attempts\":2}}",
                it.prefix.replace('/', "-"),
                it.host,
                it.prefix,
                it.kind,
                it.timeout_s,
                it.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!(
                "{{\"name\":\"{it}\",\"health_path\":\"/healthz\",\"max_connections\":316,\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
         \"idle_timeout_s\":15}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A new folder for settings and logs, removed by `remove_folder`.
pub fn new_folder(case: &str) -> String {
    let base = std::env::temp_dir();
    let folder = format!("{}/pollenlever-review-{case}-{}", base.display(), std::process::id());
    if std::fs::create_dir_all(&folder).is_err() {
        give_up("no temporary folder");
    }
    folder
}

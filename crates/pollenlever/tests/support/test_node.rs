use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use pollenlever::control::ControlStatus;
use pollenlever::settings::Settings;
use pollenlever_core::config::{PathPattern, RequestKind, ServiceConfig};
use pollenlever_core::id::NodeId;

use super::{StubTarget, TestPeer};

/// Timeout of [`TestNode::wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_NODE: AtomicUsize = AtomicUsize::new(0);

/// A running `pollenleverd` and its stub target. The process is killed when dropped.
pub(crate) struct TestNode {
    pub(crate) cfg: Settings,
    pub(crate) target: StubTarget,
    process: Child,
    settings_file: PathBuf,
}

/// An HTTP answer.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: String,
}

impl Reply {
    /// Value of a header, or an empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map(String::as_str).unwrap_or_default()
    }

    /// Status, error and outcome in one line.
    pub(crate) fn summary(&self) -> String {
        let (error, outcome) =
            (self.header("pollenlever-error"), self.header("pollenlever-outcome"));
        format!("{} {error} {outcome}", self.status)
    }
}

impl TestNode {
    /// Starts a node beside a target that has announced itself for the service `balance`.
    pub(crate) fn start() -> TestNode {
        TestNode::start_with(|_| {})
    }

    /// Starts a node like [`start`](TestNode::start), with other settings.
    pub(crate) fn start_with(change: impl FnOnce(&mut Settings)) -> TestNode {
        let target = StubTarget::start();
        let index = NEXT_NODE.fetch_add(1, Ordering::Relaxed);
        let addr = |port| SocketAddr::from((unique_loopback_ip(index), port));
        let mut cfg = Settings {
            entry: addr(7000),
            peer: addr(7100),
            target: target.addr,
            store: addr(7300),
            region: "lombardia".to_owned(),
            zone: "lombardia-a".to_owned(),
            seed: Some(1),
            log_level: "debug".to_owned(),
            ..Settings::default()
        };
        change(&mut cfg);
        let name = format!("pollenlever-node-{}-{index}.ini", std::process::id());
        let settings_file = std::env::temp_dir().join(name);
        std::fs::write(&settings_file, cfg.to_ini()).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_pollenleverd"))
            .arg("--settings")
            .arg(&settings_file)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let node = TestNode { cfg, target, process, settings_file };
        node.wait_for("start", || node.try_status().is_some());
        node.configure();
        node.post("/pollenlever/v1/target/announce", r#"{"service":"balance","slots":4}"#);
        node.wait_for("announcement", || {
            let status = node.status();
            status.members.iter().any(|it| it.service.as_deref() == Some("balance"))
                && status.configs.contains_key("balance")
        });
        node.wait_for("first answer", || node.get("/call/balance/read/ok").status == 200);
        node
    }

    fn configure(&self) {
        let peer = TestPeer::new();
        peer.send_config(self.cfg.peer, config());
    }

    /// Id of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Id of the node, as its status page states it.
    pub(crate) fn id(&self) -> NodeId {
        self.status().node.parse().unwrap()
    }

    /// Status page of the node. Panics if the node does not answer.
    pub(crate) fn status(&self) -> ControlStatus {
        self.try_status().expect("the node still answers")
    }

    fn try_status(&self) -> Option<ControlStatus> {
        let url = format!("http://{}/pollenlever/v1/status", self.cfg.entry);
        reqwest::blocking::get(url).ok()?.json().ok()
    }

    pub(crate) fn get(&self, path: &str) -> Reply {
        self.request("GET", path, &[], "")
    }

    pub(crate) fn post(&self, path: &str, body: &str) -> Reply {
        self.request("POST", path, &[], body)
    }

    pub(crate) fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Reply {
        let url = format!("http://{}{path}", self.cfg.entry);
        let client = reqwest::blocking::Client::new();
        let mut builder = client.request(method.parse().unwrap(), url).body(body.to_owned());
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let response = builder.send().unwrap();
        let status = response.status().as_u16();
        let named = response.headers().iter();
        let text = |value: &reqwest::header::HeaderValue| value.to_str().unwrap().to_owned();
        let headers = named.map(|(name, value)| (name.to_string(), text(value))).collect();
        Reply { status, headers, body: response.text().unwrap() }
    }

    /// Waits until `condition` is true. Panics with `what` after [`WAIT_TIMEOUT`].
    pub(crate) fn wait_for(&self, what: &str, condition: impl Fn() -> bool) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed() < WAIT_TIMEOUT, "no {what} of {}", self.cfg.entry);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends SIGTERM, on which the node leaves the cluster and exits.
    pub(crate) fn terminate(&self) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").arg("-TERM").arg(pid).status().unwrap().success());
    }

    /// Waits until the process has exited.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.process.wait().unwrap()
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

/// A loopback address that only this node uses, so that no other socket can occupy its ports.
fn unique_loopback_ip(index: usize) -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let index = u8::try_from(index + 1).expect("at most 255 nodes a test process");
    Ipv4Addr::new(127, 128 | high, low, index)
}

fn config() -> ServiceConfig {
    let read = RequestKind {
        name: "read".into(),
        path: PathPattern::from("/read/**"),
        deadline: Duration::from_secs(5),
        retry_budget: 0,
        ..RequestKind::default()
    };
    let charge = RequestKind {
        name: "charge".into(),
        method: "POST".to_owned(),
        path: PathPattern::from("/charge"),
        is_idempotent: false,
        ..RequestKind::default()
    };
    let kinds = vec![read, charge];
    ServiceConfig { service: "balance".into(), version: 1, kinds, ..ServiceConfig::default() }
}

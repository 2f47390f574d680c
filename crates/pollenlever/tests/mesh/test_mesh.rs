use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pollenlever::mesh::{
    ControlAnswer, ControlFuture, ControlHandler, HeaderNames, MeshNode, MeshPlatform, MeshShared,
    RouteError, SharedControlHandler,
};
use pollenlever::settings::MeshSettings;
use pollenlever::store::SharedObjectApi;
use pollenlever_core::mesh::{
    HttpRoute, RetryBudgetSettings, RouteTable, ServiceLimits, StartTime, TargetReport,
    WeightedService,
};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

use super::memory_store::MemoryStore;
use super::raw_caller::{RawAnswer, RawCaller};
use super::scripted_target::{Action, ScriptedTarget};
use super::store_view::StoreView;
use super::test_relay::TestRelay;

/// Timeout of the conditions that a test waits for.
pub(crate) const WAIT: Duration = Duration::from_secs(20);
/// Port at which other nodes reach a node.
const PEER_PORT: u16 = 7100;
/// Port at which they reach it through a relay.
const RELAYED_PEER_PORT: u16 = 7150;
/// Port at which test nodes serve their metrics.
pub(crate) const METRICS_PORT: u16 = 7400;
/// Deadline of requests that should not reach it, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 15_000;

/// A platform whose route object holds only the version of a table; the tables are kept in memory.
struct TestPlatform {
    store: StoreView,
    tables: Arc<Mutex<Vec<RouteTable>>>,
}

struct NoControl;

impl ControlHandler for NoControl {
    fn handle<'a>(&'a self, _: &'a str, _: &'a str, _: &'a [u8]) -> ControlFuture<'a> {
        let answer = ControlAnswer { status: 404, content_type: "text/plain", body: String::new() };
        Box::pin(std::future::ready(answer))
    }
}

impl MeshPlatform for TestPlatform {
    fn headers(&self) -> HeaderNames {
        HeaderNames::default()
    }

    fn store(&self) -> SharedObjectApi {
        Arc::new(self.store.clone())
    }

    fn routes_object(&self) -> (&'static str, &'static str) {
        ("routes", "main")
    }

    fn routes(&self, value: &Value) -> Result<RouteTable, RouteError> {
        let version = value.as_u64().ok_or_else(|| RouteError("not a version".to_owned()))?;
        let tables = self.tables.lock().unwrap();
        let found = tables.iter().find(|it| it.version == version);
        found.cloned().ok_or_else(|| RouteError("unknown version".to_owned()))
    }

    fn control(&self, _node: Arc<MeshShared>) -> SharedControlHandler {
        Arc::new(NoControl)
    }
}

/// A node and the scripted target beside it.
pub(crate) struct TestNode {
    pub(crate) node: MeshNode,
    pub(crate) callers: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) target: ScriptedTarget,
    /// The store as this node sees it.
    pub(crate) store: StoreView,
    service: &'static str,
    /// Runtime of a node that can crash; `None` if it shares that of the test.
    runtime: Option<Runtime>,
}

/// Mesh nodes that share a store.
pub(crate) struct TestMesh {
    pub(crate) store: MemoryStore,
    pub(crate) nodes: Vec<TestNode>,
    tables: Arc<Mutex<Vec<RouteTable>>>,
    /// Whether nodes determine the pace of started targets.
    pub(crate) has_start_pace: bool,
    /// Retries that all nodes together may send whatever the number of requests.
    pub(crate) min_retries: f64,
    /// Memory that each node may use, in bytes.
    pub(crate) memory_bytes: Option<usize>,
}

impl TestMesh {
    /// Starts a node for each service and script, and waits until each knows the others' targets.
    ///
    /// `/read/` is idempotent and goes to service `read`; `/charge/` is not and goes to service
    /// `charge`.
    pub(crate) async fn start(targets: &[(&'static str, &[Action])]) -> TestMesh {
        let mut mesh = TestMesh::new();
        mesh.publish(table(1));
        for (service, script) in targets {
            mesh.add_node(service, script).await;
        }
        for node in &mesh.nodes {
            node.report_ready(1);
        }
        mesh.wait_until_members_known().await;
        mesh
    }

    /// A mesh without nodes and routes.
    pub(crate) fn new() -> TestMesh {
        TestMesh {
            store: MemoryStore::default(),
            nodes: Vec::new(),
            tables: Arc::default(),
            has_start_pace: false,
            min_retries: 1000.0,
            memory_bytes: MeshSettings::default().memory_bytes,
        }
    }

    /// Starts a node whose target has not reported yet.
    pub(crate) async fn add_node(&mut self, service: &'static str, script: &[Action]) {
        let ip = unique_loopback_ip();
        let node = self.start_node(self.nodes.len(), ip, service, script, None).await;
        self.nodes.push(node);
    }

    /// Starts a node like [`add_node`](TestMesh::add_node) that other nodes reach through the returned
    /// relay.
    pub(crate) async fn add_relayed_node(
        &mut self,
        service: &'static str,
        script: &[Action],
    ) -> TestRelay {
        let ip = unique_loopback_ip();
        let listen = SocketAddr::from((ip, RELAYED_PEER_PORT));
        let relay = TestRelay::start(listen, SocketAddr::from((ip, PEER_PORT)));
        let node =
            self.start_node_at(self.nodes.len(), ip, Some(listen), service, script, None).await;
        self.nodes.push(node);
        relay
    }

    /// Starts a node whose target has not reported yet, and which can crash.
    pub(crate) async fn add_crashable_node(&mut self, service: &'static str, script: &[Action]) {
        let index = self.nodes.len();
        let runtime = Some(node_runtime());
        let node = self.start_node(index, unique_loopback_ip(), service, script, runtime).await;
        self.nodes.push(node);
    }

    /// Starts a crashed node anew, at the same addresses. Its target has not reported yet.
    pub(crate) async fn restart(&mut self, index: usize, script: &[Action]) {
        let IpAddr::V4(ip) = self.nodes[index].callers.ip() else { unreachable!("see start_node") };
        let service = self.nodes[index].service;
        let runtime = Some(node_runtime());
        self.nodes[index] = self.start_node(index, ip, service, script, runtime).await;
    }

    /// Publishes a route table through the store.
    pub(crate) fn publish(&self, table: RouteTable) {
        let version = table.version;
        self.tables.lock().unwrap().push(table);
        self.store.write("routes", "main", &json!(version));
    }

    /// Starts another node with a ready target, and waits until all nodes know each other.
    pub(crate) async fn join(&mut self, service: &'static str, script: &[Action]) {
        self.add_node(service, script).await;
        self.nodes[self.nodes.len() - 1].report_ready(1);
        self.wait_until_members_known().await;
    }

    async fn start_node(
        &self,
        index: usize,
        ip: Ipv4Addr,
        service: &'static str,
        script: &[Action],
        runtime: Option<Runtime>,
    ) -> TestNode {
        self.start_node_at(index, ip, None, service, script, runtime).await
    }

    async fn start_node_at(
        &self,
        index: usize,
        ip: Ipv4Addr,
        advertise: Option<SocketAddr>,
        service: &'static str,
        script: &[Action],
        runtime: Option<Runtime>,
    ) -> TestNode {
        let target = ScriptedTarget::start(script).await;
        let at = |port| SocketAddr::from((ip, port));
        let cfg = MeshSettings {
            name: format!("node-{index}"),
            callers_address: at(7000),
            peer: at(PEER_PORT),
            advertise,
            memory_bytes: self.memory_bytes,
            readiness_address: at(7200),
            control_address: at(7300),
            metrics_address: Some(at(METRICS_PORT)),
            has_start_pace: self.has_start_pace,
            region: "lombardia".to_owned(),
            zone: format!("zone-{index}"),
            target: target.addr,
            service: service.to_owned(),
            retry_budget: RetryBudgetSettings {
                min_retries: self.min_retries,
                ..RetryBudgetSettings::default()
            },
            ..MeshSettings::default()
        };
        let store = StoreView::new(self.store.clone());
        let platform = TestPlatform { store: store.clone(), tables: Arc::clone(&self.tables) };
        let callers = cfg.callers_address;
        let start = async move { MeshNode::start(&cfg, Arc::new(platform)).await.unwrap() };
        let node = match &runtime {
            Some(runtime) => runtime.spawn(start).await.unwrap(),
            None => start.await,
        };
        let metrics = SocketAddr::from((ip, METRICS_PORT));
        TestNode { node, callers, metrics, target, store, service, runtime }
    }

    pub(crate) async fn wait_until_members_known(&self) {
        for node in &self.nodes {
            let shared = Arc::clone(node.node.shared());
            let count = self.nodes.len() - 1;
            wait_until("members known", || {
                shared.is_ready() && shared.serving_member_count() == count
            })
            .await;
        }
    }

    /// Sends one request to the first node on a new connection.
    pub(crate) async fn call(&self, method: &str, path: &str, id: &str) -> RawAnswer {
        self.nodes[0].call(method, path, id).await
    }

    /// Opens a connection to the first node.
    pub(crate) async fn caller(&self) -> RawCaller {
        RawCaller::connect(self.nodes[0].callers).await
    }

    /// Number of requests that reached the target of each node.
    pub(crate) fn arrivals(&self) -> Vec<usize> {
        self.nodes.iter().map(|it| it.target.arrivals().len()).collect()
    }
}

impl TestNode {
    /// Sends the node one request on a new connection.
    pub(crate) async fn call(&self, method: &str, path: &str, id: &str) -> RawAnswer {
        let mut caller = RawCaller::connect(self.callers).await;
        caller.request(method, path, id, DEADLINE_MS).await;
        caller.answer().await.expect("an answer")
    }

    /// Sends the node a report of its target.
    pub(crate) fn report(&self, sequence: u64, is_draining: bool) {
        self.report_of(1, sequence, is_draining);
    }

    /// Sends the node the first report of a restarted target process.
    pub(crate) fn report_restart(&self, started: StartTime) {
        self.report_of(started, 1, false);
    }

    fn report_of(&self, started: StartTime, sequence: u64, is_draining: bool) {
        self.node.shared().handle_target_report(TargetReport {
            instance: format!("i-{}", self.target.addr.port()).as_str().into(),
            started,
            sequence,
            service: self.service.into(),
            slots: 4,
            is_draining,
            cold_remaining: Duration::ZERO,
        });
    }

    pub(crate) fn report_ready(&self, sequence: u64) {
        self.report(sequence, false);
    }

    /// Ends all tasks of a crashable node at once, without a word to anybody.
    pub(crate) async fn crash(&mut self) {
        self.runtime.take().expect("a crashable node").shutdown_background();
        while TcpStream::connect(self.callers).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// A runtime must not be dropped where tests run, as that would wait for its tasks.
impl Drop for TestNode {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The test routes, as table `version`.
pub(crate) fn table(version: u64) -> RouteTable {
    let route = |name: &str, is_idempotent: bool| HttpRoute {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        services: vec![WeightedService { service: name.into(), weight: 1.0 }],
        is_public: false,
        is_idempotent,
        max_attempts: 2,
        timeout: Duration::from_secs(60),
        latency_objective: Duration::from_secs(8),
        shed_order: 0,
    };
    let limits = |name: &str| ServiceLimits { service: name.into(), max_connections: 100 };
    RouteTable {
        version,
        routes: vec![route("read", true), route("charge", false)],
        services: vec![limits("read"), limits("charge")],
        ..RouteTable::default()
    }
}

/// Waits until a condition is met; panics with `what` after [`WAIT`].
pub(crate) async fn wait_until(what: &str, is_met: impl Fn() -> bool) {
    let met = async {
        while !is_met() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT, met).await.unwrap_or_else(|_| panic!("{what} should come true"));
}

/// Returns a runtime for a node that can crash.
fn node_runtime() -> Runtime {
    Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap()
}

/// Returns a loopback address that no other node of this test run has. The node ports are below the
/// range of ephemeral ports, so that no outgoing connection can take one. No octet but the last one is
/// 0, as relays need it.
fn unique_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = 64 + (std::process::id() % 128) as u8;
    Ipv4Addr::new(127, process, high + 1, low)
}

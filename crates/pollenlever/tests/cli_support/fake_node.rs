use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use pollenlever::control::{ControlStatus, MemberStatus};
use serde_json::json;

use super::{FakeHttp, Reply};

/// A fake node that lists itself and the members added by the test.
pub(crate) struct FakeNode {
    pub(crate) http: FakeHttp,
    status: Arc<Mutex<ControlStatus>>,
}

impl FakeNode {
    pub(crate) fn start(region: &str, burn: impl ToString) -> FakeNode {
        let burn = burn.to_string();
        let status = Arc::new(Mutex::new(ControlStatus {
            region: region.to_owned(),
            zone: format!("{region}-a"),
            store_reachable: true,
            ..ControlStatus::default()
        }));
        let shown = Arc::clone(&status);
        let http = FakeHttp::start(move |req| match req.path.split('?').next().unwrap() {
            "/pollenlever/v1/status" => {
                Reply::ok(serde_json::to_string(&*shown.lock().unwrap()).unwrap())
            }
            "/pollenlever/v1/burn" => Reply::ok(&burn),
            "/pollenlever/v1/keys" => Reply::ok(json!({"keys": ["key-1", "key-2"]})),
            "/pollenlever/v1/target/leave" => {
                shown.lock().unwrap().members.iter_mut().for_each(|it| it.state = "leaving".into());
                Reply { status: Some(204), body: String::new() }
            }
            _ => Reply { status: Some(404), body: "no such path".to_owned() },
        });
        let node = FakeNode { http, status };
        let entry = node.http.addr.to_string();
        node.add_member(&entry, region);
        node
    }

    /// Adds a member with a ready target.
    pub(crate) fn add_member(&self, entry: &str, region: &str) {
        let member = MemberStatus {
            node: format!("{entry}@1"),
            entry: entry.to_owned(),
            region: region.to_owned(),
            zone: format!("{region}-a"),
            service: Some("balance".to_owned()),
            state: "ready".to_owned(),
            slots: 36,
        };
        self.status.lock().unwrap().members.push(member);
    }

    /// Sets the configuration versions that the node reports as in force, by service.
    pub(crate) fn set_configs(&self, configs: BTreeMap<String, u64>) {
        self.status.lock().unwrap().configs = configs;
    }

    /// Returns the address to pass to `--node`.
    pub(crate) fn addr(&self) -> String {
        self.http.addr.to_string()
    }
}

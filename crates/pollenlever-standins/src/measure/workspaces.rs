use std::hint::black_box;
use std::time::{Duration, Instant};

use pollenlever_core::quota::{
    DelegatedShard, QuotaHome, QuotaSettings, ShareDelegation, TOTAL_UNITS, TokenRequest,
};
use pollenlever_core::workspace::{KeyDigest, QuotaLimit, Workspace, WorkspaceDirectory};

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};

/// Numbers of workspaces and of keys of each.
const SIZES: [(usize, usize); 2] = [(85, 2), (10_000, 1)];
/// Number of calls over which a time is averaged.
const CALLS: u32 = 100_000;
/// Number of shards of the share table.
const SHARDS: u32 = 8;
/// Limit on the time for one key and one token, as a share of the 1.6 ms that a node may add.
const MAX_CALL: Duration = Duration::from_micros(160);
/// Limit on the memory of one node, in MB.
const MAX_MB: f64 = 256.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Memory and time that keys and quotas cost a node.
pub(super) struct Workspaces;

impl Measurement for Workspaces {
    fn name(&self) -> &'static str {
        "workspaces"
    }

    fn summary(&self) -> &'static str {
        "85 and 10,000 workspaces: a key and a token cost <= 160 us, all of them <= 256 MB"
    }

    fn run(&self, _options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let mut is_held = true;
        let mut verdict = Vec::new();
        for (count, keys) in SIZES {
            let cost = Cost::measure(count, keys)?;
            println!(
                "workspaces={count} keys={} table_kb={:.1} directory_ms={:.2} key_us={:.2} \
                 limits_ms={:.2} token_us={:.2} resident_mb={:.1}",
                count * keys,
                cost.table_bytes as f64 / 1000.0,
                cost.directory.as_secs_f64() * 1000.0,
                cost.key.as_secs_f64() * 1e6,
                cost.limits.as_secs_f64() * 1000.0,
                cost.token.as_secs_f64() * 1e6,
                cost.resident_mb
            );
            is_held &= cost.key + cost.token <= MAX_CALL && cost.resident_mb <= MAX_MB;
            verdict.push(cost);
        }
        let largest = verdict.last().ok_or("no sizes")?;
        Ok(Verdict::new(is_held)
            .figure("key_us", format!("{:.2}", largest.key.as_secs_f64() * 1e6))
            .figure("token_us", format!("{:.2}", largest.token.as_secs_f64() * 1e6))
            .figure("resident_mb", format!("{:.1}", largest.resident_mb)))
    }
}

struct Cost {
    /// Length of the encoded workspaces in a message between nodes.
    table_bytes: usize,
    /// Time to build the directory of a new version.
    directory: Duration,
    /// Mean time to find the workspace of a key.
    key: Duration,
    /// Time to apply the limits of a new version at a home.
    limits: Duration,
    /// Mean time in which a home answers a token request.
    token: Duration,
    resident_mb: f64,
}

impl Cost {
    fn measure(count: usize, keys: usize) -> Result<Cost, MeasurementError> {
        let before = resident_mb()?;
        let workspaces: Vec<Workspace> = (0..count).map(|it| workspace(it, keys)).collect();
        let encoded = bincode::encode_to_vec(&workspaces, bincode::config::standard())?;
        let start = Instant::now();
        let directory = WorkspaceDirectory::new(&workspaces)?;
        let directory_time = start.elapsed();
        let key = mean_time(|call| {
            black_box(directory.find(&key_name(call as usize % count, 0)));
        });
        let mut home = home();
        let limits: Vec<_> =
            workspaces.iter().filter_map(|it| it.quota.map(|at| (it.name.clone(), at))).collect();
        let start = Instant::now();
        home.set_limits(Duration::from_millis(1), &limits);
        let limits_time = start.elapsed();
        let token = mean_time(|call| {
            let req = TokenRequest {
                number: u64::from(call),
                workspace: limits[call as usize % count].0.clone(),
                wanted: 1,
                prefetch: 0,
                returned: None,
            };
            let now = Duration::from_millis(2) + Duration::from_micros(u64::from(call));
            black_box(home.on_requests(now, &[req]));
        });
        Ok(Cost {
            table_bytes: encoded.len(),
            directory: directory_time,
            key,
            limits: limits_time,
            token,
            resident_mb: resident_mb()? - before,
        })
    }
}

fn workspace(index: usize, keys: usize) -> Workspace {
    Workspace {
        name: format!("workspace-{index}").as_str().into(),
        keys: (0..keys).map(|key| KeyDigest::of(&key_name(index, key))).collect(),
        quota: Some(QuotaLimit { rate_per_s: 10.0, burst: 10.0 }),
        ..Workspace::default()
    }
}

fn key_name(workspace: usize, key: usize) -> String {
    format!("key-{key}-of-workspace-{workspace}")
}

/// A home to which all units of all shards are delegated.
fn home() -> QuotaHome {
    let me = "127.0.0.1:7101@1f".parse().expect("a node id");
    let mut home = QuotaHome::new(me, QuotaSettings::default());
    let mut delegation = ShareDelegation {
        holder: "holder".into(),
        incarnation: 1,
        sequence: 1,
        shard_count: SHARDS,
        shards: Vec::new(),
    };
    let part = |shard| DelegatedShard { shard, units: TOTAL_UNITS, ticket: None };
    delegation.shards = (0..SHARDS).map(part).collect();
    let reply = home.on_delegation(Duration::ZERO, &delegation);
    delegation.sequence = 2;
    for (shard, ticket) in reply.tickets {
        delegation.shards[shard as usize].ticket = Some(ticket);
    }
    home.on_delegation(Duration::ZERO, &delegation);
    home
}

fn mean_time(mut call: impl FnMut(u32)) -> Duration {
    let start = Instant::now();
    (0..CALLS).for_each(&mut call);
    start.elapsed() / CALLS
}

fn resident_mb() -> Result<f64, MeasurementError> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages: f64 = statm.split(' ').nth(1).ok_or("no resident pages in statm")?.parse()?;
    Ok(pages * PAGE_BYTES / 1e6)
}

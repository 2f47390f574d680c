use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::config::{PathPattern, RequestKind, ServiceConfig};

use super::step::{Step, StepResult};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::measure::{MeasureError, MeasureOptions, Measurement, Verdict};

/// Largest added time at the 99th percentile, in milliseconds.
const TARGET_P99_MS: f64 = 1.6;
/// Calls a second to each node at which the first figures are taken.
const BASE_RATE: f64 = 300.0;
/// Further rates, towards the knee of a target with 36 slots of 40 ms, at 900 calls a second.
const RATES: [f64; 3] = [500.0, 700.0, 800.0];
/// Length of the step at the base rate.
const BASE_LENGTH: Duration = Duration::from_secs(16);
/// Length of each further step.
const STEP_LENGTH: Duration = Duration::from_secs(7);
/// Time that a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Targets of each of the two services.
const TARGETS: usize = 2;
/// Factor on the direct 99th percentile at the base rate that marks the target's knee.
const KNEE_FACTOR: f64 = 1.5;
/// Share of calls that must get a whole answer.
const MIN_GOOD_RATIO: f64 = 0.999;
/// Service that is called through its nodes.
const THROUGH: &str = "balance";
/// Service whose targets are called directly; its nodes have no calls.
const DIRECT: &str = "history";

/// Measures the time that a node adds to a call, side by side with direct calls.
pub struct Latency;

impl Measurement for Latency {
    fn name(&self) -> &'static str {
        "latency"
    }

    fn summary(&self) -> &'static str {
        "time added by the node to a call, against direct calls to equal targets in the same run; \
         p99 at most 1.6 ms at 300 calls/s a node and up to the targets' knee"
    }

    fn run(&self, options: &MeasureOptions) -> Result<Verdict, MeasureError> {
        let cluster = Cluster::start(spec(options.seed))?;
        let urls = |service: &str, url: &dyn Fn(SocketAddr, SocketAddr) -> String| {
            let machines = cluster.machines.iter().filter(|it| it.service == service);
            machines.map(|it| Arc::from(url(it.entry, it.target))).collect::<Vec<Arc<str>>>()
        };
        let through = urls(THROUGH, &|entry, _| format!("http://{entry}/call/{THROUGH}/read"));
        let direct = urls(DIRECT, &|_, target| format!("http://{target}/read"));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let client = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let run = |rate, length| {
            let step = Step { rate, length, seed: options.seed };
            let result = step.run(runtime.handle(), &client, &through, &direct)?;
            print_step(&result);
            Ok::<_, MeasureError>(result)
        };
        let base = run(BASE_RATE, BASE_LENGTH)?;
        let mut steps = Vec::new();
        for rate in RATES {
            steps.push(run(rate, STEP_LENGTH)?);
        }
        Ok(judge(&base, &steps))
    }
}

fn judge(base: &StepResult, steps: &[StepResult]) -> Verdict {
    let knee_ms = base.direct.quantile_ms(0.99) * KNEE_FACTOR;
    let below_knee: Vec<&StepResult> = std::iter::once(base)
        .chain(steps.iter().take_while(|it| it.direct.quantile_ms(0.99) <= knee_ms))
        .collect();
    let worst_p99 = below_knee.iter().map(|it| it.added_ms(0.99)).fold(f64::MIN, f64::max);
    let is_good = below_knee.iter().all(|it| it.through.good_ratio() >= MIN_GOOD_RATIO);
    let top_rate = below_knee.last().map_or(0.0, |it| it.rate);
    Verdict::new(is_good && worst_p99 <= TARGET_P99_MS)
        .figure("added_p50_ms", format!("{:.2}", base.added_ms(0.5)))
        .figure("added_p99_ms", format!("{:.2}", base.added_ms(0.99)))
        .figure("worst_added_p99_ms", format!("{worst_p99:.2}"))
        .figure("up_to_calls_per_s", format!("{top_rate:.0}"))
}

fn print_step(step: &StepResult) {
    println!(
        "{:.0} calls/s a node: direct p50 {:.2} p99 {:.2} ms, through p50 {:.2} p99 {:.2} ms, \
         added p50 {:.2} p99 {:.2} ms, good {:.4} of {}",
        step.rate,
        step.direct.quantile_ms(0.5),
        step.direct.quantile_ms(0.99),
        step.through.quantile_ms(0.5),
        step.through.quantile_ms(0.99),
        step.added_ms(0.5),
        step.added_ms(0.99),
        step.through.good_ratio(),
        step.through.answered(),
    );
}

fn spec(seed: u64) -> ClusterSpec {
    let service = |name: &str| ServiceSpec {
        config: ServiceConfig {
            service: name.into(),
            regions: vec!["lombardia".into()],
            ramp_up: Duration::ZERO,
            kinds: vec![RequestKind {
                name: "read".into(),
                path: PathPattern::from("/read"),
                ..RequestKind::default()
            }],
            ..ServiceConfig::default()
        },
        targets: TARGETS,
        service_time: SERVICE_TIME,
        ..ServiceSpec::default()
    };
    ClusterSpec {
        services: vec![service(THROUGH), service(DIRECT)],
        regions: vec!["lombardia".to_owned()],
        zones: 1,
        seed,
        relayed: false,
        ..ClusterSpec::default()
    }
}

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pollenlever_core::config::{PathPattern, RequestKind, ServiceConfig};

use super::step::{Step, StepResult};
use crate::cluster::{Cluster, ClusterSpec, ServiceSpec};
use crate::measure::{Measurement, MeasurementError, MeasurementOptions, Verdict};

/// Largest added latency at the 99th percentile that meets the objective, in milliseconds.
const MAX_ADDED_P99_MS: f64 = 1.6;
/// Calls a second to each node in the first step, the base rate.
const BASE_RATE: f64 = 300.0;
/// Calls a second in further steps, approaching saturation: a target with 36 slots and a service
/// time of 40 ms serves at most 900 calls a second.
const FURTHER_RATES: [f64; 3] = [500.0, 700.0, 800.0];
/// Duration of the step at the base rate.
const BASE_DURATION: Duration = Duration::from_secs(16);
/// Duration of each further step.
const STEP_DURATION: Duration = Duration::from_secs(7);
/// Time for which a request occupies a slot of its target.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Number of targets of each of the two services.
const TARGETS: usize = 2;
/// A step is past the targets' knee, the load above which their own latency climbs, if the 99th
/// percentile of direct calls exceeds that at the base rate by this factor.
const KNEE_FACTOR: f64 = 1.5;
/// Smallest share of calls with a complete answer that meets the objective.
const MIN_GOOD_RATIO: f64 = 0.999;
/// Service whose targets are called through their nodes.
const NODE_SERVICE: &str = "balance";
/// Service whose targets are called directly, without passing through their nodes.
const DIRECT_SERVICE: &str = "history";

/// Compares the latency of calls through nodes with that of direct calls to targets, made at the
/// same time.
pub struct Latency;

impl Measurement for Latency {
    fn name(&self) -> &'static str {
        "latency"
    }

    fn summary(&self) -> &'static str {
        "latency that a node adds to a call, vs direct calls to equal targets in the same run; \
         p99 at most 1.6 ms at 300 calls/s a node and up to the targets' knee"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let cluster = Cluster::start(spec(options.seed))?;
        let urls = |service: &str, url: &dyn Fn(SocketAddr, SocketAddr) -> String| {
            let machines = cluster.machines.iter().filter(|it| it.service == service);
            machines
                .map(|it| Arc::from(url(it.entry_addr, it.target_addr)))
                .collect::<Vec<Arc<str>>>()
        };
        let via_node =
            urls(NODE_SERVICE, &|entry, _| format!("http://{entry}/call/{NODE_SERVICE}/read"));
        let direct = urls(DIRECT_SERVICE, &|_, target| format!("http://{target}/read"));
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
        let client = reqwest::Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let run = |rate, duration| {
            let step = Step { rate, duration, seed: options.seed };
            let result = step.run(runtime.handle(), &client, &via_node, &direct)?;
            print_step(&result);
            Ok::<_, MeasurementError>(result)
        };
        let base = run(BASE_RATE, BASE_DURATION)?;
        let mut steps = Vec::new();
        for rate in FURTHER_RATES {
            steps.push(run(rate, STEP_DURATION)?);
        }
        Ok(evaluate(&base, &steps))
    }
}

/// Checks the limits on the steps below the knee; later steps do not count.
fn evaluate(base: &StepResult, steps: &[StepResult]) -> Verdict {
    let knee_ms = base.direct.quantile_ms(0.99) * KNEE_FACTOR;
    let below_knee: Vec<&StepResult> = std::iter::once(base)
        .chain(steps.iter().take_while(|it| it.direct.quantile_ms(0.99) <= knee_ms))
        .collect();
    let worst_p99 = below_knee.iter().map(|it| it.added_ms(0.99)).fold(f64::MIN, f64::max);
    let has_enough_answers = below_knee.iter().all(|it| it.via_node.good_ratio() >= MIN_GOOD_RATIO);
    let top_rate = below_knee.last().map_or(0.0, |it| it.rate);
    Verdict::new(has_enough_answers && worst_p99 <= MAX_ADDED_P99_MS)
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
        step.via_node.quantile_ms(0.5),
        step.via_node.quantile_ms(0.99),
        step.added_ms(0.5),
        step.added_ms(0.99),
        step.via_node.good_ratio(),
        step.via_node.answered_count(),
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
        target_count: TARGETS,
        service_time: SERVICE_TIME,
        ..ServiceSpec::default()
    };
    ClusterSpec {
        services: vec![service(NODE_SERVICE), service(DIRECT_SERVICE)],
        regions: vec!["lombardia".to_owned()],
        zones_per_region: 1,
        seed,
        uses_relay: false,
        ..ClusterSpec::default()
    }
}

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pollenlever_core::Timestamp;
use pollenlever_core::admission::{
    Admission, AdmissionSettings, PriorityAdmission, RunOutcome, Ticket, Verdict,
};
use pollenlever_core::config::Importance;
use pollenlever_core::id::{ChainId, StreamId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict as MeasurementVerdict};

const SLOTS: u32 = 193;
const SERVICE_TIME: Duration = Duration::from_millis(83);
/// Simulated time.
const LENGTH: Duration = Duration::from_secs(3);
/// Requests that arrive, as a multiple of those that the target can run.
const LOAD: f64 = 2.0;
const WORKSPACES: u64 = 85;
/// Time that a caller waits for its answer.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Limit on the time of one decision, as a tenth of the 1.6 ms that a node may add.
const MAX_DECISION: Duration = Duration::from_micros(160);

/// Time that the gate of an overloaded target takes to decide.
pub(super) struct Queue;

impl Measurement for Queue {
    fn name(&self) -> &'static str {
        "queue"
    }

    fn summary(&self) -> &'static str {
        "the gate of a target at twice its load: a decision costs <= 160 us"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<MeasurementVerdict, MeasurementError> {
        let mut target = OverloadedTarget::new(options.seed);
        let started = Instant::now();
        target.run();
        let elapsed = started.elapsed();
        let decision = elapsed / target.decisions.max(1);
        Ok(MeasurementVerdict::new(decision <= MAX_DECISION)
            .figure("decision_us", format!("{:.2}", decision.as_secs_f64() * 1e6))
            .figure("decisions", target.decisions.to_string())
            .figure("runs", target.runs.to_string())
            .figure("shed", target.shed.to_string())
            .figure("max_queued", target.max_queued.to_string()))
    }
}

/// A simulated target with its gate.
struct OverloadedTarget {
    gate: PriorityAdmission,
    rng: SmallRng,
    ends: BTreeMap<(Timestamp, StreamId), Duration>,
    /// Number of arrivals and of ends.
    decisions: u32,
    runs: u32,
    shed: u32,
    max_queued: u32,
}

impl OverloadedTarget {
    fn new(seed: u64) -> OverloadedTarget {
        let mut gate = PriorityAdmission::new(AdmissionSettings::default());
        gate.set_slots(Duration::ZERO, SLOTS);
        let rng = SmallRng::seed_from_u64(seed);
        let ends = BTreeMap::new();
        OverloadedTarget { gate, rng, ends, decisions: 0, runs: 0, shed: 0, max_queued: 0 }
    }

    fn run(&mut self) {
        let interval = SERVICE_TIME.div_f64(f64::from(SLOTS) * LOAD);
        let (mut now, mut id) = (Duration::ZERO, 0);
        while now < LENGTH {
            self.end_runs(now);
            id += 1;
            self.offer(now, id);
            now += interval.mul_f64(-self.rng.random::<f64>().ln());
        }
    }

    fn offer(&mut self, now: Timestamp, id: StreamId) {
        let importances = [Importance::Normal, Importance::Normal, Importance::Critical];
        let ticket = Ticket {
            id,
            service: "charging".into(),
            importance: importances[id as usize % importances.len()],
            chain: ChainId { origin: "127.0.0.1:7101@1f".parse().expect("a node id"), seq: id },
            depth: self.rng.random_range(0..2),
            workspace: format!("workspace-{}", self.rng.random_range(0..WORKSPACES))
                .as_str()
                .into(),
            deadline: now + TIMEOUT,
        };
        let mut verdicts = Vec::new();
        self.gate.offer(now, ticket, &mut verdicts);
        self.apply(now, verdicts);
    }

    fn end_runs(&mut self, until: Timestamp) {
        while let Some((&(now, id), &service_time)) = self.ends.first_key_value()
            && now <= until
        {
            self.ends.pop_first();
            let mut verdicts = Vec::new();
            let outcome = RunOutcome::Answered;
            self.gate.record_finished(now, id, service_time, outcome, &mut verdicts);
            self.apply(now, verdicts);
        }
    }

    fn apply(&mut self, now: Timestamp, verdicts: Vec<Verdict>) {
        self.decisions += 1;
        self.max_queued = self.max_queued.max(self.gate.load(now).queued);
        for verdict in verdicts {
            match verdict {
                Verdict::Run(id) => {
                    let time = SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
                    self.ends.insert((now + time, id), time);
                    self.runs += 1;
                }
                Verdict::Shed { .. } => self.shed += 1,
            }
        }
    }
}

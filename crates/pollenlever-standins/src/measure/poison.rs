use std::time::Duration;

use pollenlever::settings::PolicyName;
use pollenlever_core::config::RequestKind;

use super::{Measurement, MeasurementError, MeasurementOptions, Verdict};
use crate::load::{LoadTrial, Phase};

/// Background load, as a multiple of the capacity.
const LOAD_FACTOR: f64 = 0.3;
/// Length of the background load, in seconds.
const LOAD_SECS: f64 = 14.0;
/// Number of times that the crashing request is sent.
const SEND_COUNT: u32 = 20;
/// Time from one send of the crashing request to the next.
const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of each send of the crashing request.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that crashes every target that runs it (a poison request) is sent repeatedly.
pub(super) struct Poison;

struct Figures {
    goodput: f64,
    /// Number of targets that crashed.
    lost: u32,
}

impl Measurement for Poison {
    fn name(&self) -> &'static str {
        "poison"
    }

    fn summary(&self) -> &'static str {
        "a crashing request sent 20 times: targets lost <= the declared number of crashes"
    }

    fn run(&self, options: &MeasurementOptions) -> Result<Verdict, MeasurementError> {
        let declared = RequestKind::default().max_crashes;
        let ours = trial(options, PolicyName::Pollenlever)?;
        let naive = trial(options, PolicyName::Naive)?;
        Ok(Verdict::new(ours.lost <= declared)
            .figure("goodput", format!("{:.4}", ours.goodput))
            .figure("naive", format!("{:.4}", naive.goodput))
            .figure("lost", ours.lost)
            .figure("naive_lost", naive.lost)
            .figure("declared", declared)
            .figure("recovery_s", "-")
            .figure("naive_recovery_s", "-"))
    }
}

fn trial(options: &MeasurementOptions, policy: PolicyName) -> Result<Figures, MeasurementError> {
    let mut trial = LoadTrial::start(options, policy, |_| {})?;
    let spec = trial.load_spec(vec![Phase::new(LOAD_FACTOR * trial.capacity, LOAD_SECS)]);
    let end = spec.duration();
    let (service, workspace) = (spec.service.clone(), spec.workspaces[0].name.clone());
    let client = reqwest::blocking::Client::builder().timeout(SEND_TIMEOUT).build()?;
    let run = trial.send(spec)?;
    let mut lost = 0;
    let mut statuses = Vec::new();
    for send in 0..SEND_COUNT {
        run.sleep_until(SEND_INTERVAL * (send + 1));
        let entries: Vec<_> =
            trial.cluster.machines.iter().filter(|it| it.service == service).collect();
        let entry = entries[send as usize % entries.len()].entry_addr;
        let url = format!("http://{entry}/call/{service}/read?id=poison");
        let sent = client.get(url).header("pollenlever-customer", &workspace).send();
        statuses.push(sent.map_or(0, |it| it.status().as_u16()));
        lost += restart_exited_targets(&mut trial)?;
    }
    let report = run.finish()?;
    lost += restart_exited_targets(&mut trial)?;
    println!("{policy:?}: statuses {statuses:?}, lost {lost}");
    println!("{policy:?}: good by second {:?}", report.good_by_second());
    Ok(Figures { goodput: report.good_share(Duration::ZERO, end), lost })
}

/// Restarts the targets that have exited, and returns their number.
fn restart_exited_targets(trial: &mut LoadTrial) -> Result<u32, MeasurementError> {
    let mut lost = 0;
    for machine in &mut trial.cluster.machines {
        if !machine.target_process.is_running() {
            machine.restart_target()?;
            lost += 1;
        }
    }
    Ok(lost)
}

use std::collections::HashMap;

use pollenlever_core::id::RunId;
use pollenlever_core::policy::Event;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::{TargetClient, TargetRequest};
use crate::ring::Ring;

/// What the decision thread asks of the target thread.
#[derive(Debug)]
pub enum GateCommand {
    /// Run a request and report its end.
    Run(RunId, Box<TargetRequest>),
    /// Close the connection of a run.
    Cancel(RunId),
}

/// Commands between two sweeps of ended runs.
const SWEEP_EVERY: usize = 256;

/// Carries out commands until the ring is closed.
pub async fn run_gate(
    mut commands: mpsc::Receiver<GateCommand>,
    client: TargetClient,
    events: Ring<Event>,
) {
    let mut tasks: HashMap<RunId, AbortHandle> = HashMap::new();
    let mut since_sweep = 0;
    while let Some(command) = commands.recv().await {
        match command {
            GateCommand::Run(run, req) => {
                let client = client.clone();
                let events = events.clone();
                let task = tokio::spawn(async move {
                    let result = client.run(*req).await;
                    crate::node::report(&events, Event::RunEnded(run, result)).await;
                });
                tasks.insert(run, task.abort_handle());
            }
            GateCommand::Cancel(run) => {
                if let Some(task) = tasks.remove(&run) {
                    task.abort();
                }
            }
        }
        since_sweep += 1;
        if since_sweep >= SWEEP_EVERY {
            since_sweep = 0;
            tasks.retain(|_, task| !task.is_finished());
        }
    }
}

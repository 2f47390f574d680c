use std::collections::HashMap;

use pollenlever_core::id::RunId;
use pollenlever_core::policy::Event;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::{TargetClient, TargetRequest};
use crate::ring::RingSender;

/// Command of the decision thread to the target thread.
#[derive(Debug)]
pub enum GateCommand {
    /// Send a request to the target and report its result as [`Event::RunEnded`].
    Run(RunId, Box<TargetRequest>),
    /// Abort a request, which closes its connection.
    Cancel(RunId),
}

/// Number of commands after which the handles of finished tasks are dropped.
const COMMANDS_PER_SWEEP: usize = 256;

/// Executes commands until their channel is closed.
pub async fn run_gate(
    mut commands: mpsc::Receiver<GateCommand>,
    client: TargetClient,
    events: RingSender<Event>,
) {
    let mut tasks: HashMap<RunId, AbortHandle> = HashMap::new();
    let mut commands_since_sweep = 0;
    while let Some(command) = commands.recv().await {
        match command {
            GateCommand::Run(run, req) => {
                let client = client.clone();
                let events = events.clone();
                let task = tokio::spawn(async move {
                    let result = client.run(*req).await;
                    crate::node::push_event(&events, Event::RunEnded(run, result)).await;
                });
                tasks.insert(run, task.abort_handle());
            }
            GateCommand::Cancel(run) => {
                if let Some(task) = tasks.remove(&run) {
                    task.abort();
                }
            }
        }
        commands_since_sweep += 1;
        if commands_since_sweep >= COMMANDS_PER_SWEEP {
            commands_since_sweep = 0;
            tasks.retain(|_, task| !task.is_finished());
        }
    }
}

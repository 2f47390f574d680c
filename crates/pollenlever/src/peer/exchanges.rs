use std::collections::HashMap;

use bytes::Bytes;
use pollenlever_core::id::{ExchangeId, NodeId};
use pollenlever_core::message::PeerRequest;
use pollenlever_core::policy::Event;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::PeerClient;
use crate::ring::RingSender;

/// Command from the decision thread to the peer thread.
#[derive(Debug)]
pub enum PeerCommand {
    /// Send a request and report its reply.
    Send {
        /// Number of the exchange, unique within this node.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The request.
        req: Box<PeerRequest>,
        /// Its body.
        body: Bytes,
    },
    /// Reset the stream of an exchange.
    Cancel(ExchangeId),
}

/// Commands after which finished tasks are removed from the table.
const COMMANDS_PER_SWEEP: usize = 256;

/// Carries out commands until their channel is closed, and reports each reply or failure as an
/// event.
pub async fn run_exchanges(
    mut commands: mpsc::Receiver<PeerCommand>,
    client: PeerClient,
    events: RingSender<Event>,
) {
    let mut tasks: HashMap<ExchangeId, AbortHandle> = HashMap::new();
    let mut commands_since_sweep = 0;
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Send { exchange, to, req, body } => {
                let work =
                    exchange_and_report(client.clone(), events.clone(), exchange, to, *req, body);
                tasks.insert(exchange, tokio::spawn(work).abort_handle());
            }
            PeerCommand::Cancel(exchange) => {
                if let Some(task) = tasks.remove(&exchange) {
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

async fn exchange_and_report(
    client: PeerClient,
    events: RingSender<Event>,
    exchange: ExchangeId,
    to: NodeId,
    req: PeerRequest,
    body: Bytes,
) {
    let event = match client.exchange(to, req, body).await {
        Ok((reply, body)) => Event::Reply(exchange, reply, body),
        Err(err) => {
            log::debug!(
                "exchange failed to={to} failure={:?} reason={:?}",
                err.failure,
                err.reason
            );
            Event::SendFailed(exchange, err.failure)
        }
    };
    crate::node::push_event(&events, event).await;
}

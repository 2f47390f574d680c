use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::membership::{Membership, highest_scores};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;
use pollenlever_core::rollout::{Rollout, RolloutAction, RolloutEvent};
use tokio::time::Instant;

use super::cell::Cell;
use super::in_force::InForce;
use crate::peer::BoxPeerSender;
use crate::ring::Ring;
use crate::store::{
    BoxObjectApi, NamedObject, ObjectList, SERVICES_KIND, ServiceObject, StoreError,
};

/// Members of a region that watch the store.
const WATCHERS: usize = 2;
/// Seed of the choice of watchers.
const WATCHER_SEED: u64 = 0x7761_7463_6865;
/// Time after the start before which a node knows too few members to be a watcher.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between looks at the members.
const PEERS_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out the actions of [`Rollout`].
pub(super) struct ConfigThread {
    pub(super) rollout: Arc<Cell<Rollout>>,
    pub(super) members: Arc<Cell<Membership>>,
    pub(super) sender: BoxPeerSender,
    pub(super) store: BoxObjectApi,
    pub(super) events: Ring<Event>,
    pub(super) in_force: Arc<InForce>,
}

/// What the state machine was last told about the members.
#[derive(Debug, Default)]
struct Seen {
    generation: u64,
    is_settled: bool,
}

impl ConfigThread {
    /// Runs until the cell is stopped or the policy is gone.
    pub(super) async fn run(self) {
        let mut seen = Seen::default();
        let mut look_at = Instant::now();
        while !self.rollout.is_stopped() {
            if look_at <= Instant::now() {
                look_at = Instant::now() + PEERS_INTERVAL;
                self.look_at_peers(&mut seen);
            }
            let actions = self.rollout.tick(RolloutEvent::Tick);
            if !self.perform(actions) {
                return;
            }
            let _ = tokio::time::timeout_at(look_at, self.rollout.wait()).await;
        }
    }

    /// Tells the state machine about its peers if members came or went.
    fn look_at_peers(&self, seen: &mut Seen) {
        let is_settled = self.members.elapsed() >= SETTLE_TIME;
        let generation = self.members.read(Membership::overlay_generation);
        if (generation, is_settled) == (seen.generation, seen.is_settled) {
            return;
        }
        *seen = Seen { generation, is_settled };
        let peers = self.members.read(|members| {
            let watchers = highest_scores(members.region(), WATCHER_SEED, WATCHERS);
            RolloutEvent::Peers {
                links: members.links().iter().map(|it| it.node).collect(),
                watches: is_settled && watchers.contains(&members.me().node),
            }
        });
        self.rollout.notify(peers);
    }

    /// Carries out actions in order. Returns whether the policy still listens.
    fn perform(&self, actions: Vec<RolloutAction>) -> bool {
        for action in actions {
            match action {
                RolloutAction::InForce(cfg) => {
                    log::info!("config in force service={} version={}", cfg.service, cfg.version);
                    if self.events.push_wait(Event::Config(Arc::clone(&cfg))).is_err() {
                        return false;
                    }
                    self.in_force.set(&cfg);
                }
                RolloutAction::Send { .. } => self.send(action),
                RolloutAction::List => self.list(),
                RolloutAction::Watch { since, timeout } => self.watch(since, timeout),
                RolloutAction::Reply(_) => {}
            }
        }
        true
    }

    fn send(&self, action: RolloutAction) {
        let RolloutAction::Send { exchange, to, message, timeout } = action else { return };
        let rollout = Arc::clone(&self.rollout);
        let reply = self.sender.send(to, PeerRequest::Config(message), Bytes::new(), timeout);
        tokio::spawn(async move {
            match reply.await {
                Ok((PeerReply::Config(reply), _)) => {
                    rollout.notify(RolloutEvent::Reply(exchange, reply));
                }
                other => {
                    log::debug!("config exchange failed to={to} result={:?}", other.err());
                    rollout.notify(RolloutEvent::Failed(exchange));
                }
            }
        });
    }

    fn list(&self) {
        let rollout = Arc::clone(&self.rollout);
        let list = self.store.list(SERVICES_KIND);
        tokio::spawn(async move { rollout.notify(stored(list.await)) });
    }

    fn watch(&self, since: u64, timeout: Duration) {
        let rollout = Arc::clone(&self.rollout);
        let watch = self.store.watch(SERVICES_KIND, since, timeout);
        tokio::spawn(async move { rollout.notify(stored(watch.await)) });
    }
}

fn stored(result: Result<ObjectList, StoreError>) -> RolloutEvent {
    match result {
        Ok(list) => RolloutEvent::Stored {
            revision: list.revision,
            configs: list.objects.iter().filter_map(to_config).collect(),
        },
        Err(err) => {
            log::warn!("store call failed error=\"{err}\"");
            RolloutEvent::StoreFailed
        }
    }
}

fn to_config(object: &NamedObject) -> Option<ServiceConfig> {
    let form = ServiceObject::from_value(&object.value);
    let cfg = form.and_then(|it| it.to_config(object.version));
    cfg.map_err(|err| log::warn!("service object skipped name={} error=\"{err}\"", object.name))
        .ok()
}

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::membership::Membership;
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::Event;
use pollenlever_core::rollout::{Rollout, RolloutAction, RolloutEvent};
use tokio::time::Instant;

use super::applied_versions::AppliedVersions;
use crate::gossip::{SharedMachine, SharedMembership};
use crate::peer::SharedPeerSender;
use crate::ring::RingSender;
use crate::store::{
    NamedObject, ObjectList, SERVICES_KIND, ServiceObject, SharedObjectApi, StoreError,
};

/// Members of a region that watch the store for all of its nodes.
const WATCHERS_PER_REGION: usize = 2;
/// Seed for choosing the watchers.
const WATCHER_SEED: u64 = 0x7761_7463_6865;
/// Time after the start during which a node does not watch the store, because it does not know
/// enough members yet to tell whether it is one of the watchers.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Time between two checks for changed members.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Runs [`Rollout`]: exchanges configurations with peers, reads them from the store and passes the
/// new ones to the policy.
pub(super) struct ConfigThread {
    pub(super) rollout: Arc<SharedMachine<Rollout>>,
    pub(super) members: SharedMembership,
    pub(super) sender: SharedPeerSender,
    pub(super) store: SharedObjectApi,
    pub(super) events: RingSender<Event>,
    pub(super) applied_versions: Arc<AppliedVersions>,
}

/// State of the membership when it was last reported to the rollout state machine.
#[derive(Debug, Default)]
struct ReportedPeers {
    generation: u64,
    is_settled: bool,
}

impl ConfigThread {
    /// Runs until the state machine is stopped or the policy's event ring is closed.
    pub(super) async fn run(self) {
        let mut reported = ReportedPeers::default();
        let mut next_check_at = Instant::now();
        while !self.rollout.is_stopped() {
            if next_check_at <= Instant::now() {
                next_check_at = Instant::now() + PEER_CHECK_INTERVAL;
                self.report_peer_changes(&mut reported);
            }
            let actions = self.rollout.tick(RolloutEvent::Tick);
            if !self.perform(actions) {
                return;
            }
            let _ = tokio::time::timeout_at(next_check_at, self.rollout.wait_for_work()).await;
        }
    }

    /// Reports the peers to the state machine if they have changed since the last report.
    fn report_peer_changes(&self, reported: &mut ReportedPeers) {
        let is_settled = self.members.elapsed() >= SETTLE_TIME;
        let generation = self.members.read(Membership::link_generation);
        if (generation, is_settled) == (reported.generation, reported.is_settled) {
            return;
        }
        *reported = ReportedPeers { generation, is_settled };
        let peers = self.members.read(|members| {
            let is_watcher = members.is_chosen_in_region(WATCHER_SEED, WATCHERS_PER_REGION);
            RolloutEvent::Peers {
                links: members.links().iter().map(|it| it.node).collect(),
                watches: is_settled && is_watcher,
            }
        });
        self.rollout.notify(peers);
    }

    /// Carries out actions in order. Returns `false` if the policy's event ring is closed.
    fn perform(&self, actions: Vec<RolloutAction>) -> bool {
        for action in actions {
            match action {
                RolloutAction::InForce(cfg) => {
                    log::info!("config in force service={} version={}", cfg.service, cfg.version);
                    if self.events.push_blocking(Event::Config(Arc::clone(&cfg))).is_err() {
                        return false;
                    }
                    self.applied_versions.record(&cfg);
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
        tokio::spawn(async move { rollout.notify(store_event(list.await)) });
    }

    fn watch(&self, since: u64, timeout: Duration) {
        let rollout = Arc::clone(&self.rollout);
        let watch = self.store.watch(SERVICES_KIND, since, timeout);
        tokio::spawn(async move { rollout.notify(store_event(watch.await)) });
    }
}

fn store_event(result: Result<ObjectList, StoreError>) -> RolloutEvent {
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
    let service = ServiceObject::from_value(&object.value);
    let cfg = service.and_then(|it| it.to_config(object.version));
    cfg.map_err(|err| log::warn!("service object skipped name={} error=\"{err}\"", object.name))
        .ok()
}

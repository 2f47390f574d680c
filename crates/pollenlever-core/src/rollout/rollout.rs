use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{
    ConfigDigest, ConfigMessage, ConfigTable, RolloutAction, RolloutEvent, RolloutSettings,
};
use crate::Timestamp;
use crate::config::{ConfigVersion, ServiceConfig};
use crate::id::{ExchangeId, NodeId, ServiceName};
use crate::policy::Policy;

type Actions = Vec<RolloutAction>;

/// A message whose reply is awaited, with the services whose configurations it carried.
#[derive(Debug)]
struct SentMessage {
    to: NodeId,
    services: Vec<ServiceName>,
}

/// Services whose configurations must still be pushed over a link, and the earliest push time.
#[derive(Debug, Default)]
struct PushQueue {
    services: BTreeSet<ServiceName>,
    push_at: Timestamp,
}

/// State of this node's calls to the store. There is at most one call at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCall {
    /// This node does not watch the store.
    Idle,
    /// The next call is due at this time.
    Due(Timestamp),
    /// A call is in flight.
    InFlight,
}

/// Puts accepted configurations into force on one node and propagates them to its peers.
///
/// ```
/// use std::time::Duration;
/// use pollenlever_core::policy::Policy;
/// use pollenlever_core::rollout::{Rollout, RolloutAction, RolloutEvent, RolloutSettings};
/// let mut rollout = Rollout::new(RolloutSettings::default(), 7);
/// let mut actions = Vec::new();
/// let peers = RolloutEvent::Peers { links: vec![], watches: true };
/// rollout.handle(Duration::ZERO, peers, &mut actions);
/// rollout.handle(Duration::ZERO, RolloutEvent::Tick, &mut actions);
/// assert_eq!(actions, [RolloutAction::List]);
/// ```
#[derive(Debug)]
pub struct Rollout {
    cfg: RolloutSettings,
    table: ConfigTable,
    links: BTreeMap<NodeId, PushQueue>,
    awaiting_reply: BTreeMap<ExchangeId, SentMessage>,
    next_exchange: ExchangeId,
    next_sync: Timestamp,
    store_call: StoreCall,
    revision: u64,
    list_at: Timestamp,
    /// Number of calls to the store that failed since the last successful one.
    failed_store_calls: u32,
    is_grace_over: bool,
    deferred_configs: Vec<ServiceConfig>,
    rng: SmallRng,
}

impl Rollout {
    /// Creates the state of a node without any configuration.
    pub fn new(cfg: RolloutSettings, seed: u64) -> Rollout {
        Rollout {
            cfg,
            table: ConfigTable::default(),
            links: BTreeMap::new(),
            awaiting_reply: BTreeMap::new(),
            next_exchange: 0,
            next_sync: Timestamp::ZERO,
            store_call: StoreCall::Idle,
            revision: 0,
            list_at: Timestamp::ZERO,
            failed_store_calls: 0,
            is_grace_over: false,
            deferred_configs: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The configurations in force on this node.
    pub fn table(&self) -> &ConfigTable {
        &self.table
    }

    /// Whether the last call to the store succeeded; `true` before the first call.
    pub fn is_store_reachable(&self) -> bool {
        self.failed_store_calls == 0
    }

    fn on_message(&mut self, from: NodeId, message: ConfigMessage, actions: &mut Actions) {
        let is_equal = message.digest == self.table.digest();
        let is_digest_only = message.configs.is_empty() && message.wanted.is_empty();
        self.apply_all(message.configs, Some(from), actions);
        let mut reply = self.digest_message();
        reply.configs = self.configs_for_message(&message.wanted).0;
        if is_digest_only && !is_equal {
            reply.versions = self.table.versions();
        }
        actions.push(RolloutAction::Reply(reply));
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: ConfigMessage,
        actions: &mut Actions,
    ) {
        let Some(sent) = self.awaiting_reply.remove(&exchange) else { return };
        let is_partial = !reply.configs.is_empty();
        self.apply_all(reply.configs, Some(sent.to), actions);
        let is_equal = reply.digest == self.table.digest();
        if is_equal && reply.digest != ConfigDigest::default() {
            self.end_grace_period(now, actions);
        }
        if is_partial && !is_equal {
            self.send_digest(sent.to, actions);
        } else if !is_equal && sent.services.is_empty() {
            self.exchange_missing(sent.to, &reply.versions, actions);
        }
    }

    /// Requests what the peer has in a higher version and queues what it lacks.
    fn exchange_missing(
        &mut self,
        to: NodeId,
        peer_versions: &[(ServiceName, ConfigVersion)],
        actions: &mut Actions,
    ) {
        let wanted = self.table.missing(peer_versions);
        if !wanted.is_empty() {
            let message = ConfigMessage { wanted, ..self.digest_message() };
            self.send(to, message, Vec::new(), actions);
        }
        for service in self.table.newer_than(peer_versions) {
            self.queue_for(to, service);
        }
    }

    fn on_failed(&mut self, now: Timestamp, exchange: ExchangeId) {
        let Some(sent) = self.awaiting_reply.remove(&exchange) else { return };
        if let Some(queue) = self.links.get_mut(&sent.to) {
            queue.services.extend(sent.services);
            queue.push_at = now + self.cfg.retry_interval;
        }
    }

    fn on_peers(
        &mut self,
        now: Timestamp,
        links: Vec<NodeId>,
        watches: bool,
        actions: &mut Actions,
    ) {
        self.links.retain(|node, _| links.contains(node));
        let is_new = |node: &NodeId| !self.links.contains_key(node);
        for node in links.into_iter().filter(is_new).collect::<Vec<_>>() {
            self.links.insert(node, PushQueue::default());
            self.send_digest(node, actions);
        }
        if watches && self.store_call == StoreCall::Idle {
            self.store_call = StoreCall::Due(now);
            self.list_at = now;
        }
        if !watches && self.store_call != StoreCall::InFlight {
            self.store_call = StoreCall::Idle;
        }
    }

    fn on_stored(
        &mut self,
        now: Timestamp,
        revision: u64,
        configs: Vec<ServiceConfig>,
        actions: &mut Actions,
    ) {
        self.failed_store_calls = 0;
        self.revision = self.revision.max(revision);
        self.store_call = StoreCall::Due(now);
        if self.is_grace_over {
            self.apply_all(configs, None, actions);
        } else {
            self.deferred_configs.extend(configs);
        }
    }

    fn on_store_failed(&mut self, now: Timestamp) {
        let doubled = self.cfg.store_backoff * 2u32.saturating_pow(self.failed_store_calls.min(10));
        let backoff = doubled.min(self.cfg.max_store_backoff);
        self.failed_store_calls += 1;
        self.store_call = StoreCall::Due(now + backoff.mul_f64(self.rng.random_range(0.5..1.0)));
    }

    fn on_tick(&mut self, now: Timestamp, actions: &mut Actions) {
        if now >= self.cfg.peer_grace_period {
            self.end_grace_period(now, actions);
        }
        self.push_queued(now, actions);
        if self.next_sync <= now {
            let jitter = self.rng.random_range(0.75..1.25);
            self.next_sync = now + self.cfg.sync_interval.mul_f64(jitter);
            let links: Vec<NodeId> = self.links.keys().copied().collect();
            if !links.is_empty() {
                let to = links[self.rng.random_range(0..links.len())];
                self.send_digest(to, actions);
            }
        }
        self.call_store(now, actions);
    }

    fn call_store(&mut self, now: Timestamp, actions: &mut Actions) {
        let StoreCall::Due(at) = self.store_call else { return };
        if at > now {
            return;
        }
        self.store_call = StoreCall::InFlight;
        if self.list_at <= now {
            self.list_at = now + self.cfg.list_interval;
            actions.push(RolloutAction::List);
        } else {
            let timeout = self.cfg.watch_timeout.min(self.list_at - now);
            actions.push(RolloutAction::Watch { since: self.revision, timeout });
        }
    }

    /// Ends the grace period and applies the deferred configurations from the store. Later ones are
    /// applied at once.
    fn end_grace_period(&mut self, now: Timestamp, actions: &mut Actions) {
        if !self.is_grace_over {
            self.is_grace_over = true;
            let configs = std::mem::take(&mut self.deferred_configs);
            self.apply_all(configs, None, actions);
            self.next_sync = self.next_sync.min(now);
        }
    }

    fn apply_all(
        &mut self,
        configs: Vec<ServiceConfig>,
        from: Option<NodeId>,
        actions: &mut Actions,
    ) {
        for cfg in configs {
            if let Some(cfg) = self.table.apply(cfg) {
                self.queue_for_all(&cfg, from);
                actions.push(RolloutAction::InForce(cfg));
            }
        }
    }

    fn queue_for_all(&mut self, cfg: &Arc<ServiceConfig>, except: Option<NodeId>) {
        let links = self.links.iter_mut().filter(|(node, _)| Some(**node) != except);
        for (_, queue) in links {
            queue.services.insert(cfg.service.clone());
        }
    }

    fn queue_for(&mut self, to: NodeId, service: ServiceName) {
        if let Some(queue) = self.links.get_mut(&to) {
            queue.services.insert(service);
        }
    }

    fn push_queued(&mut self, now: Timestamp, actions: &mut Actions) {
        for to in
            self.links_to_push().filter(|(_, at)| *at <= now).map(|it| it.0).collect::<Vec<_>>()
        {
            let queued: Vec<ServiceName> = self.links[&to].services.iter().cloned().collect();
            let (configs, services) = self.configs_for_message(&queued);
            if let Some(queue) = self.links.get_mut(&to) {
                queue.services.retain(|it| !services.contains(it));
            }
            let message = ConfigMessage { configs, ..self.digest_message() };
            self.send(to, message, services, actions);
        }
    }

    /// Links with queued configurations and no push in flight, and their earliest push times.
    fn links_to_push(&self) -> impl Iterator<Item = (NodeId, Timestamp)> {
        let has_push_in_flight = |node: &NodeId| {
            self.awaiting_reply.values().any(|it| it.to == *node && !it.services.is_empty())
        };
        let queues = self.links.iter().filter(|(_, queue)| !queue.services.is_empty());
        queues
            .filter(move |(node, _)| !has_push_in_flight(node))
            .map(|(node, queue)| (*node, queue.push_at))
    }

    /// Configurations of as many of `services`, in order, as fit into one message, and the names of
    /// the services that were processed, including those without a configuration.
    fn configs_for_message(
        &self,
        services: &[ServiceName],
    ) -> (Vec<ServiceConfig>, Vec<ServiceName>) {
        let mut total = 0;
        let mut configs = Vec::new();
        let mut processed = Vec::new();
        for service in services {
            let cfg = self.table.get(service);
            let size = cfg.map_or(0, |it| encoded_len(it));
            if total > 0 && total + size > self.cfg.max_config_bytes {
                break;
            }
            total += size;
            processed.push(service.clone());
            configs.extend(cfg.map(|it| ServiceConfig::clone(it)));
        }
        (configs, processed)
    }

    fn send_digest(&mut self, to: NodeId, actions: &mut Actions) {
        let message = self.digest_message();
        self.send(to, message, Vec::new(), actions);
    }

    fn digest_message(&self) -> ConfigMessage {
        ConfigMessage { digest: self.table.digest(), ..ConfigMessage::default() }
    }

    fn send(
        &mut self,
        to: NodeId,
        message: ConfigMessage,
        services: Vec<ServiceName>,
        actions: &mut Actions,
    ) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        self.awaiting_reply.insert(exchange, SentMessage { to, services });
        let timeout = self.cfg.reply_timeout;
        actions.push(RolloutAction::Send { exchange, to, message, timeout });
    }

    fn store_wakeup(&self) -> Option<Timestamp> {
        match self.store_call {
            StoreCall::Due(at) => Some(at),
            StoreCall::Idle | StoreCall::InFlight => None,
        }
    }

    fn grace_period_wakeup(&self) -> Option<Timestamp> {
        (!self.is_grace_over).then_some(self.cfg.peer_grace_period)
    }

    fn push_wakeup(&self) -> Option<Timestamp> {
        self.links_to_push().map(|(_, at)| at).min()
    }
}

fn encoded_len(cfg: &ServiceConfig) -> usize {
    bincode::encode_to_vec(cfg, bincode::config::standard()).map_or(0, |it| it.len())
}

impl Policy for Rollout {
    type Event = RolloutEvent;
    type Action = RolloutAction;

    fn handle(&mut self, now: Timestamp, event: RolloutEvent, actions: &mut Actions) {
        match event {
            RolloutEvent::Message(from, message) => self.on_message(from, message, actions),
            RolloutEvent::Reply(exchange, reply) => self.on_reply(now, exchange, reply, actions),
            RolloutEvent::Failed(exchange) => self.on_failed(now, exchange),
            RolloutEvent::Peers { links, watches } => self.on_peers(now, links, watches, actions),
            RolloutEvent::Stored { revision, configs } => {
                self.on_stored(now, revision, configs, actions);
            }
            RolloutEvent::StoreFailed => self.on_store_failed(now),
            RolloutEvent::Tick => self.on_tick(now, actions),
        }
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let timers = [self.store_wakeup(), self.grace_period_wakeup(), self.push_wakeup()];
        timers.into_iter().flatten().chain([self.next_sync]).min()
    }
}

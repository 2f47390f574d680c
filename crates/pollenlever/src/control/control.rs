use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{
    Member, Membership, MembershipEvent, MembershipSettings, TargetState,
};
use pollenlever_core::policy::{Event, TargetNotice};
use pollenlever_core::rollout::{
    ConfigMessage, Rollout, RolloutAction, RolloutEvent, RolloutSettings,
};

use super::applied_versions::AppliedVersions;
use super::config_thread::ConfigThread;
use super::ring_sink::RingSink;
use super::{
    ControlError, ControlHandle, ControlMessage, ControlReply, ControlStatus, MemberStatus,
    SharedControl,
};
use crate::gossip::{
    GossipDriver, SeedPublisher, SharedMachine, SharedMembership, reply_to_gossip,
};
use crate::peer::SharedPeerSender;
use crate::ring::RingSender;
use crate::settings::Settings;
use crate::store::{PEERS_KIND, SharedObjectApi, StoreClient};

/// The control threads of a node: one for membership and one for configuration.
pub struct Control {
    members: SharedMembership,
    rollout: Arc<SharedMachine<Rollout>>,
    applied_versions: Arc<AppliedVersions>,
}

impl Control {
    /// Starts the threads. They end when the result or the reader of `events` is dropped.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if a thread or the store client cannot be set up.
    pub fn spawn(
        cfg: &Settings,
        me: NodeId,
        sender: SharedPeerSender,
        events: RingSender<Event>,
    ) -> Result<SharedControl, ControlError> {
        let store: SharedObjectApi =
            Arc::new(StoreClient::with_local_ip(local_ip(cfg), cfg.store)?);
        let seed = cfg.seed.unwrap_or_else(rand::random) ^ me.incarnation;
        let member = local_member(cfg, me);
        let membership = Membership::new(MembershipSettings::default(), member, seed);
        let members = Arc::new(SharedMachine::new(membership));
        let rollout = Arc::new(SharedMachine::new(Rollout::new(RolloutSettings::default(), seed)));
        members.notify(MembershipEvent::Seeds(cfg.seed_peers.clone()));
        let applied_versions = Arc::new(AppliedVersions::default());

        let gossip = GossipDriver {
            members: Arc::clone(&members),
            sender: Arc::clone(&sender),
            sink: RingSink(events.clone()),
        };
        let publisher = SeedPublisher {
            members: Arc::clone(&members),
            store: Arc::clone(&store),
            kind: PEERS_KIND,
        };
        let config = ConfigThread {
            rollout: Arc::clone(&rollout),
            members: Arc::clone(&members),
            sender,
            store,
            events,
            applied_versions: Arc::clone(&applied_versions),
        };
        spawn_thread("gossip", async move {
            tokio::spawn(publisher.run());
            gossip.run().await;
        })?;
        spawn_thread("config", config.run())?;
        Ok(Arc::new(Control { members, rollout, applied_versions }))
    }
}

impl ControlHandle for Control {
    fn handle_message(&self, from: NodeId, message: ControlMessage) -> ControlReply {
        match message {
            ControlMessage::Gossip(message) => {
                ControlMessage::Gossip(reply_to_gossip(&self.members, from, message))
            }
            ControlMessage::Config(message) => {
                let event = RolloutEvent::Message(from, message);
                let is_reply = |it: &_| matches!(it, RolloutAction::Reply(_));
                match self.rollout.handle_event(event, is_reply) {
                    Some(RolloutAction::Reply(reply)) => ControlMessage::Config(reply),
                    _ => ControlMessage::Config(ConfigMessage::default()),
                }
            }
        }
    }

    fn handle_target_notice(&self, notice: TargetNotice) {
        self.members.notify(MembershipEvent::Target(notice));
    }

    fn announce_leave(&self) {
        self.members.notify(MembershipEvent::Leave);
    }

    fn status(&self) -> ControlStatus {
        let store_reachable = self.rollout.read(Rollout::is_store_reachable);
        let configs = self.applied_versions.versions();
        self.members.read(|it| ControlStatus {
            node: it.me().node.to_string(),
            region: it.me().region.to_string(),
            zone: it.me().zone.to_string(),
            configs,
            members: it.table().live().map(member_status).collect(),
            store_reachable,
        })
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        self.members.stop();
        self.rollout.stop();
    }
}

/// The node's own IP address, if the store can be reached from it: same IP version, and both are
/// loopback addresses or neither is.
fn local_ip(cfg: &Settings) -> Option<IpAddr> {
    let (local, store) = (cfg.peer.ip(), cfg.store.ip());
    let is_same_kind =
        local.is_ipv4() == store.is_ipv4() && local.is_loopback() == store.is_loopback();
    (is_same_kind && !local.is_unspecified()).then_some(local)
}

/// The member that describes this node. Its version starts at the wall-clock time in milliseconds
/// so that it is above the versions of earlier processes at this address.
fn local_member(cfg: &Settings, me: NodeId) -> Member {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Member {
        entry: cfg.entry,
        version: since_epoch.as_millis() as u64,
        region: cfg.region.as_str().into(),
        zone: cfg.zone.as_str().into(),
        ..Member::new(me)
    }
}

fn spawn_thread(
    name: &str,
    task: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name(name.to_owned()).spawn(move || runtime.block_on(task))?;
    Ok(())
}

fn member_status(member: &Member) -> MemberStatus {
    let state = match member.state {
        TargetState::Absent => "absent",
        TargetState::Cold => "cold",
        TargetState::Ready => "ready",
        TargetState::Leaving => "leaving",
    };
    MemberStatus {
        node: member.node.to_string(),
        entry: member.entry.to_string(),
        region: member.region.to_string(),
        zone: member.zone.to_string(),
        service: member.service.as_ref().map(ToString::to_string),
        state: state.to_owned(),
        slots: member.slots,
    }
}

use std::future::Future;
use std::net::IpAddr;
use std::sync::Arc;
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{
    GossipMessage, Member, Membership, MembershipAction, MembershipEvent, MembershipSettings,
    TargetState,
};
use pollenlever_core::policy::{Event, TargetNotice};
use pollenlever_core::rollout::{
    ConfigMessage, Rollout, RolloutAction, RolloutEvent, RolloutSettings,
};

use super::cell::Cell;
use super::config_thread::ConfigThread;
use super::gossip_thread::GossipThread;
use super::in_force::InForce;
use super::seed_publisher::SeedPublisher;
use super::{
    BoxControl, ControlError, ControlHandle, ControlInput, ControlReply, ControlStatus,
    MemberStatus,
};
use crate::peer::BoxPeerSender;
use crate::ring::Ring;
use crate::settings::Settings;
use crate::store::{BoxObjectApi, StoreClient};

/// The control threads of a node: one for membership and one for configuration.
pub struct Control {
    members: Arc<Cell<Membership>>,
    rollout: Arc<Cell<Rollout>>,
    in_force: Arc<InForce>,
}

impl Control {
    /// Starts the threads. They end when the result is dropped or the ring's reader is gone.
    ///
    /// # Errors
    ///
    /// [`ControlError`] if a thread or the client of the store cannot be set up.
    pub fn spawn(
        cfg: &Settings,
        me: NodeId,
        sender: BoxPeerSender,
        events: Ring<Event>,
    ) -> Result<BoxControl, ControlError> {
        let store: BoxObjectApi = Arc::new(StoreClient::from_ip(local_ip(cfg), cfg.store)?);
        let seed = cfg.seed.unwrap_or_else(rand::random) ^ me.incarnation;
        let member = own_member(cfg, me);
        let membership = Membership::new(MembershipSettings::default(), member, seed);
        let members = Arc::new(Cell::new(membership));
        let rollout = Arc::new(Cell::new(Rollout::new(RolloutSettings::default(), seed)));
        members.notify(MembershipEvent::Seeds(cfg.seeds.clone()));
        let in_force = Arc::new(InForce::default());

        let gossip = GossipThread {
            members: Arc::clone(&members),
            sender: Arc::clone(&sender),
            events: events.clone(),
        };
        let publisher = SeedPublisher { members: Arc::clone(&members), store: Arc::clone(&store) };
        let config = ConfigThread {
            rollout: Arc::clone(&rollout),
            members: Arc::clone(&members),
            sender,
            store,
            events,
            in_force: Arc::clone(&in_force),
        };
        spawn_thread("gossip", async move {
            tokio::spawn(publisher.run());
            gossip.run().await;
        })?;
        spawn_thread("config", config.run())?;
        Ok(Arc::new(Control { members, rollout, in_force }))
    }
}

impl ControlHandle for Control {
    fn receive(&self, from: NodeId, input: ControlInput) -> ControlReply {
        match input {
            ControlInput::Gossip(message) => {
                let event = MembershipEvent::Message(from, message);
                let is_reply = |it: &_| matches!(it, MembershipAction::Reply(_));
                match self.members.report(event, is_reply) {
                    Some(MembershipAction::Reply(reply)) => ControlInput::Gossip(reply),
                    _ => ControlInput::Gossip(GossipMessage::default()),
                }
            }
            ControlInput::Config(message) => {
                let event = RolloutEvent::Message(from, message);
                let is_reply = |it: &_| matches!(it, RolloutAction::Reply(_));
                match self.rollout.report(event, is_reply) {
                    Some(RolloutAction::Reply(reply)) => ControlInput::Config(reply),
                    _ => ControlInput::Config(ConfigMessage::default()),
                }
            }
        }
    }

    fn target_notice(&self, notice: TargetNotice) {
        self.members.notify(MembershipEvent::Target(notice));
    }

    fn leave(&self) {
        self.members.notify(MembershipEvent::Leave);
    }

    fn status(&self) -> ControlStatus {
        let store_reachable = self.rollout.read(Rollout::is_store_reachable);
        let configs = self.in_force.versions();
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

/// The node's own address, if it is one from which the store can be reached.
fn local_ip(cfg: &Settings) -> Option<IpAddr> {
    let (local, store) = (cfg.peer.ip(), cfg.store.ip());
    let is_same_kind =
        local.is_ipv4() == store.is_ipv4() && local.is_loopback() == store.is_loopback();
    (is_same_kind && !local.is_unspecified()).then_some(local)
}

/// This node's entry. Its version starts from the wall clock, above that of earlier processes.
fn own_member(cfg: &Settings, me: NodeId) -> Member {
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
    duty: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new().name(name.to_owned()).spawn(move || runtime.block_on(duty))?;
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

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use pollenlever_core::id::{Incarnation, NodeId};

/// Protocol version and build of another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerVersion {
    /// Version of the protocol that is spoken with the node.
    pub protocol: u16,
    /// Its build; `None` if it has not told it, as nodes up to version 0.1 do not.
    pub build: Option<Arc<str>>,
}

/// Protocol versions and builds of the nodes that this node has exchanged messages with.
#[derive(Debug, Default)]
pub struct PeerVersions {
    peers: Mutex<HashMap<SocketAddr, KnownPeer>>,
}

#[derive(Debug)]
struct KnownPeer {
    incarnation: Incarnation,
    version: PeerVersion,
}

impl PeerVersions {
    /// The version of a node; `None` if this node has not heard of this process yet.
    ///
    /// ```
    /// use pollenlever::peer::PeerVersions;
    /// let versions = PeerVersions::default();
    /// let node = "127.0.0.1:7101@1f".parse().unwrap();
    /// assert_eq!(versions.get(node), None);
    /// versions.record(node, 4, None);
    /// assert_eq!(versions.get(node).map(|it| it.protocol), Some(4));
    /// ```
    pub fn get(&self, node: NodeId) -> Option<PeerVersion> {
        let peers = self.lock();
        let known = peers.get(&node.addr).filter(|it| it.incarnation == node.incarnation)?;
        Some(known.version.clone())
    }

    /// The protocol version that is spoken with a node; `None` if it is not known.
    pub fn protocol(&self, node: NodeId) -> Option<u16> {
        let peers = self.lock();
        let known = peers.get(&node.addr).filter(|it| it.incarnation == node.incarnation)?;
        Some(known.version.protocol)
    }

    /// Records a message of a node: the protocol version in which it came, and the build if told. A
    /// message of an earlier process at the same address is ignored.
    pub fn record(&self, node: NodeId, protocol: u16, build: Option<&str>) {
        let mut peers = self.lock();
        let known = peers.entry(node.addr).or_insert_with(|| KnownPeer::new(node.incarnation));
        if known.incarnation > node.incarnation {
            return;
        }
        if known.incarnation < node.incarnation {
            *known = KnownPeer::new(node.incarnation);
        }
        known.version.protocol = protocol;
        if let Some(build) = build
            && known.version.build.as_deref() != Some(build)
        {
            known.version.build = Some(build.into());
        }
    }

    /// Forgets a process that is gone.
    pub fn forget(&self, node: NodeId) {
        let mut peers = self.lock();
        if peers.get(&node.addr).is_some_and(|it| it.incarnation == node.incarnation) {
            peers.remove(&node.addr);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, KnownPeer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KnownPeer {
    fn new(incarnation: Incarnation) -> KnownPeer {
        KnownPeer { incarnation, version: PeerVersion { protocol: 0, build: None } }
    }
}

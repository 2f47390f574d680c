use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that deployments use.
const FIRST_PORT: u16 = 10_000;
/// Ports that one deployment uses.
const PORTS_A_DEPLOYMENT: u16 = 10;
/// Deployments that can stand side by side.
const MAX_DEPLOYMENTS: u16 = 2_000;

/// Distance between the deployments of one process.
const DEPLOYMENT_STRIDE: u32 = 997;

/// Ports of a deployment, the same on each of its loopback addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    first: u16,
}

/// Number of the next deployment of this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

impl Ports {
    /// Ports that no other deployment of this process has, nor one of another process, as a rule.
    pub fn next() -> Ports {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        Ports::new(std::process::id().wrapping_add(number * DEPLOYMENT_STRIDE))
    }

    /// Ports for the `n`th deployment; numbers wrap.
    ///
    /// ```
    /// use pollenlever_standins::cluster::Ports;
    /// assert_ne!(Ports::new(1).entry(), Ports::new(2).entry());
    /// ```
    pub fn new(n: u32) -> Ports {
        let n = (n % u32::from(MAX_DEPLOYMENTS)) as u16;
        Ports { first: FIRST_PORT + n * PORTS_A_DEPLOYMENT }
    }

    /// HTTP entry of a node.
    pub fn entry(self) -> u16 {
        self.first
    }

    /// Peer address of a node.
    pub fn peer(self) -> u16 {
        self.first + 1
    }

    /// Peer address of a node as other nodes reach it, through the relay.
    pub fn relayed_peer(self) -> u16 {
        self.first + 2
    }

    /// HTTP address of a target.
    pub fn target(self) -> u16 {
        self.first + 3
    }

    /// HTTP address of the store.
    pub fn store(self) -> u16 {
        self.first + 4
    }
}

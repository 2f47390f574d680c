use std::sync::atomic::{AtomicU32, Ordering};

/// Lowest port that deployments use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports reserved for each deployment.
const PORTS_PER_DEPLOYMENT: u16 = 10;
/// Number of deployments that can run side by side.
const MAX_DEPLOYMENTS: u16 = 2_000;

/// Distance between the numbers of two successive deployments of one process, so that they rarely
/// collide with those of processes with adjacent ids.
const DEPLOYMENT_STRIDE: u32 = 997;

/// Ports of a deployment, the same on each of its loopback addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    first: u16,
}

/// Number of the next deployment of this process.
static NEXT_DEPLOYMENT: AtomicU32 = AtomicU32::new(0);

impl Ports {
    /// Returns ports that differ from those of this process's earlier deployments and, most likely,
    /// from those of other processes.
    pub fn next() -> Ports {
        let number = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
        Ports::new(std::process::id().wrapping_add(number * DEPLOYMENT_STRIDE))
    }

    /// Ports for the `n`th deployment; `n` wraps at 2000.
    ///
    /// ```
    /// use pollenlever_standins::cluster::Ports;
    /// assert_ne!(Ports::new(1).entry(), Ports::new(2).entry());
    /// ```
    pub fn new(n: u32) -> Ports {
        let n = (n % u32::from(MAX_DEPLOYMENTS)) as u16;
        Ports { first: FIRST_PORT + n * PORTS_PER_DEPLOYMENT }
    }

    /// Port at which a node accepts requests.
    pub fn entry(self) -> u16 {
        self.first
    }

    /// Port at which a node listens for other nodes.
    pub fn peer(self) -> u16 {
        self.first + 1
    }

    /// Port at which the relay listens on behalf of a node's peer port.
    pub fn relayed_peer(self) -> u16 {
        self.first + 2
    }

    /// HTTP port of a target.
    pub fn target(self) -> u16 {
        self.first + 3
    }

    /// HTTP port of the store.
    pub fn store(self) -> u16 {
        self.first + 4
    }
}

use std::net::SocketAddr;

use pollenlever_standins::relay::{LinkState, Location, Relay};

/// A relay in front of one node.
pub(crate) struct TestRelay {
    relay: Relay,
    location: Location,
}

impl TestRelay {
    pub(crate) fn start(listen: SocketAddr, to: SocketAddr) -> TestRelay {
        // The relay has a runtime of its own, which cannot be started on that of the test.
        let started = std::thread::spawn(move || Relay::start(&[(listen, to)]));
        let relay = started.join().unwrap().unwrap();
        let location = Location::of(to).expect("a loopback address");
        TestRelay { relay, location }
    }

    /// Discards all data of the connections that are open now; later ones work.
    pub(crate) fn silence_open_connections(&self) {
        let state = LinkState::SilentForOpenConnections;
        self.relay.links().set(self.location, self.location, state);
    }
}

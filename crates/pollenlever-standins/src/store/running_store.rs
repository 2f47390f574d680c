use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;

use super::shared::Shared;
use super::{Counters, Faults};

/// A store that runs inside this process; dropping it stops it.
pub struct RunningStore {
    addr: SocketAddr,
    shared: Arc<Shared>,
    shutdown: rocket::Shutdown,
    thread: Option<JoinHandle<()>>,
}

impl RunningStore {
    pub(crate) fn new(
        addr: SocketAddr,
        shared: Arc<Shared>,
        shutdown: rocket::Shutdown,
        thread: JoinHandle<()>,
    ) -> RunningStore {
        RunningStore { addr, shared, shutdown, thread: Some(thread) }
    }

    /// Address on which the store listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.lock().set_faults(faults);
        self.shared.notify();
    }

    /// Calls received so far.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Waits until the store stops.
    pub fn join(mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for RunningStore {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl fmt::Debug for RunningStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunningStore").field("addr", &self.addr).finish_non_exhaustive()
    }
}

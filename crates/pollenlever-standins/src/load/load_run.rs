use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::caller::Caller;
use super::{Arrival, LoadReport, LoadSpec};

/// Threads that drive the callers.
const WORKERS: usize = 2;

/// A load that runs on its own threads.
#[derive(Debug)]
pub struct LoadRun {
    start: Instant,
    thread: JoinHandle<io::Result<LoadReport>>,
}

impl LoadRun {
    /// Starts to send to `entries`.
    ///
    /// # Errors
    ///
    /// Any error of starting the threads.
    pub fn start(spec: LoadSpec, entries: Vec<SocketAddr>) -> io::Result<LoadRun> {
        let thread = thread::Builder::new().name("load".to_owned()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(WORKERS)
                .enable_all()
                .build()?;
            Ok(runtime.block_on(drive(spec, entries)))
        })?;
        Ok(LoadRun { start: Instant::now(), thread })
    }

    /// Time since the load started.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Waits until `at` from the start of the load.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.start.elapsed()));
    }

    /// Waits for the last answer.
    ///
    /// # Errors
    ///
    /// Any error of the load's threads.
    pub fn finish(self) -> io::Result<LoadReport> {
        let result = self.thread.join();
        result.unwrap_or_else(|_| Err(io::Error::other("the load's thread panicked")))
    }
}

/// Sends each request at its time, whatever became of the ones before.
async fn drive(spec: LoadSpec, entries: Vec<SocketAddr>) -> LoadReport {
    let arrivals = Arrival::all(&spec);
    let shared = Arc::new((spec, entries, reqwest::Client::new()));
    let mut callers = JoinSet::new();
    let start = tokio::time::Instant::now();
    for arrival in arrivals {
        tokio::time::sleep_until(start + arrival.at).await;
        let shared = Arc::clone(&shared);
        callers.spawn(async move {
            let (spec, entries, client) = &*shared;
            Caller { spec, client, entries, arrival }.run().await
        });
    }
    let mut records = callers.join_all().await;
    records.sort_by_key(|it| it.arrival.id);
    LoadReport { records }
}

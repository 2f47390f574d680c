use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::caller::Caller;
use super::{Arrival, LoadReport, LoadSpec};

/// Worker threads of the runtime on which the callers run.
const WORKER_THREADS: usize = 2;

/// A running load, on its own threads.
#[derive(Debug)]
pub struct LoadRun {
    start: Instant,
    thread: JoinHandle<io::Result<LoadReport>>,
}

impl LoadRun {
    /// Starts sending requests to random addresses of `entries`.
    ///
    /// # Errors
    ///
    /// Any error of starting the threads.
    pub fn start(spec: LoadSpec, entries: Vec<SocketAddr>) -> io::Result<LoadRun> {
        let thread = thread::Builder::new().name("load".to_owned()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(WORKER_THREADS)
                .enable_all()
                .build()?;
            Ok(runtime.block_on(send_arrivals(spec, entries)))
        })?;
        Ok(LoadRun { start: Instant::now(), thread })
    }

    /// Time since the load started.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Blocks until `at` after the start of the load.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.start.elapsed()));
    }

    /// Waits until every request has ended and returns their records.
    ///
    /// # Errors
    ///
    /// Any error of the load's threads.
    pub fn finish(self) -> io::Result<LoadReport> {
        let result = self.thread.join();
        result.unwrap_or_else(|_| Err(io::Error::other("the load's thread panicked")))
    }
}

/// Sends each request at its planned time, without waiting for earlier ones (open loop).
async fn send_arrivals(spec: LoadSpec, entries: Vec<SocketAddr>) -> LoadReport {
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

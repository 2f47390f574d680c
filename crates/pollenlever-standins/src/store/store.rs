use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rocket::fairing::AdHoc;
use rocket::{Build, Config, Rocket};
use thiserror::Error;

use super::shared::Shared;
use super::{RunningStore, StoreSettings, routes};

/// Why the store could not be started.
#[derive(Debug, Error)]
pub enum StoreError {
    /// No thread or runtime could be created.
    #[error("cannot start the store: {0}")]
    Thread(#[from] std::io::Error),
    /// The server did not start, most likely because the address is taken.
    #[error("the store did not start on {0}; check that the address is free")]
    Address(std::net::SocketAddr),
}

/// Starts the in-memory object API.
#[derive(Debug, Clone, Copy)]
pub struct Store;

impl Store {
    /// Starts a store on its own thread. It stops when the result is dropped.
    ///
    /// ```
    /// use pollenlever_standins::store::{Store, StoreSettings};
    /// let store = Store::start(StoreSettings::default()).unwrap();
    /// assert_ne!(store.addr().port(), 0);
    /// ```
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the address is taken or no thread can be created.
    pub fn start(cfg: StoreSettings) -> Result<RunningStore, StoreError> {
        let addr = cfg.addr;
        let shared = Arc::new(Shared::new());
        let (tx, rx) = mpsc::channel();
        let server = server(cfg, Arc::clone(&shared), tx);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .thread_name("store")
            .enable_all()
            .build()?;
        let thread = thread::Builder::new().name("store-main".to_owned()).spawn(move || {
            if let Err(err) = runtime.block_on(server.launch()) {
                let reason = err.to_string(); // rocket panics if its error is dropped unread
                log::error!("store server failed error=\"{reason}\"");
            }
            runtime.shutdown_timeout(Duration::from_millis(100));
        })?;
        let (addr, shutdown) = rx.recv().map_err(|_| StoreError::Address(addr))?;
        Ok(RunningStore::new(addr, shared, shutdown, thread))
    }
}

type StartReport = (std::net::SocketAddr, rocket::Shutdown);

fn server(cfg: StoreSettings, shared: Arc<Shared>, tx: mpsc::Sender<StartReport>) -> Rocket<Build> {
    let mut config = Config {
        address: cfg.addr.ip(),
        port: cfg.addr.port(),
        workers: 2,
        log_level: rocket::config::LogLevel::Off,
        ..Config::release_default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.grace = 0;
    config.shutdown.mercy = 0;
    #[cfg(unix)]
    config.shutdown.signals.clear();
    let report = AdHoc::on_liftoff("report address", move |rocket| {
        let addr = (rocket.config().address, rocket.config().port).into();
        let shutdown = rocket.shutdown();
        Box::pin(async move {
            let _ = tx.send((addr, shutdown));
        })
    });
    rocket::custom(config).manage(shared).manage(cfg).mount("/", routes::routes()).attach(report)
}

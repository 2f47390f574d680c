use std::net::SocketAddr;
use std::sync::Arc;

use rocket::config::{Ident, LogLevel, Shutdown};
use rocket::shield::Shield;
use rocket::{Config, Ignite, Rocket};

use super::EntryState;
use super::call_route::call_routes;
use super::catcher::default_catcher;
use super::control_routes::control_routes;
use super::key_route::key_route;
use super::target_routes::target_routes;

/// Seconds that rocket gives requests in flight to finish once shutdown starts, after the node has
/// drained.
const SHUTDOWN_GRACE_S: u32 = 3;
/// Seconds that rocket gives connections to close after the grace period.
const SHUTDOWN_MERCY_S: u32 = 1;
/// Seconds after which an idle connection of a caller is closed.
const KEEP_ALIVE_S: u32 = 60;

/// The HTTP server of a node.
pub struct EntryServer {
    rocket: Rocket<Ignite>,
}

impl EntryServer {
    /// Checks the routes and the configuration, without binding `addr`.
    ///
    /// # Errors
    ///
    /// [`rocket::Error`] if the routes collide or the configuration is wrong.
    pub async fn new(
        addr: SocketAddr,
        state: Arc<EntryState>,
    ) -> Result<EntryServer, rocket::Error> {
        let rocket = rocket::custom(config(addr))
            .attach(Shield::new())
            .mount("/", call_routes(&state))
            .mount("/", vec![key_route(&state)])
            .mount("/pollenlever/v1/target", target_routes())
            .mount("/", control_routes())
            .register("/", vec![default_catcher()])
            .manage(state);
        Ok(EntryServer { rocket: rocket.ignite().await? })
    }

    /// Handle to shut the server down, after which [`serve`](EntryServer::serve) returns.
    pub fn shutdown(&self) -> rocket::Shutdown {
        self.rocket.shutdown()
    }

    /// Binds the address and serves until shutdown.
    ///
    /// # Errors
    ///
    /// [`rocket::Error`] if the address cannot be bound.
    pub async fn serve(self) -> Result<(), rocket::Error> {
        self.rocket.launch().await.map(|_| ())
    }
}

fn config(addr: SocketAddr) -> Config {
    let shutdown = Shutdown {
        ctrlc: false,
        #[cfg(unix)]
        signals: Default::default(),
        grace: SHUTDOWN_GRACE_S,
        mercy: SHUTDOWN_MERCY_S,
        force: false,
        ..Shutdown::default()
    };
    Config {
        address: addr.ip(),
        port: addr.port(),
        keep_alive: KEEP_ALIVE_S,
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::default()
    }
}

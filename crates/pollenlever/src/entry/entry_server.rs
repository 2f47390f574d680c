use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::{Request, Response};
use hyper::body::Incoming;
use rocket::config::{Ident, LogLevel};
use rocket::shield::Shield;
use rocket::{Build, Config, Rocket};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::EntryState;
use super::call_route::call_routes;
use super::catcher::default_catcher;
use super::control_routes::control_routes;
use super::entry_body::EntryBody;
use super::key_route::key_route;
use super::read_body::ReadBody;
use super::rocket_routes::{EntryRequest, RocketRoutes};
use super::target_routes::target_routes;
use crate::bounds::ConnectionSlot;
use crate::net::{HangupIo, HttpConnection, MAX_READ_AHEAD_BYTES};

/// Longest time for which connections may go on once shutdown starts, after the node has drained.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(3);
/// Interval between checks whether connections are still open.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which an idle connection of a caller is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(60);
/// Delay before the next `accept` after one failed, for example because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Smallest buffer for a head, in bytes. The server answers a head that is over the limit of the settings
/// and fits.
const MIN_BUF_BYTES: usize = 32 << 10;
/// What a connection takes besides its buffers, in bytes: its task and that of its request.
const CONNECTION_BYTES: usize = 8 << 10;

/// The HTTP server of a node.
pub struct EntryServer {
    addr: SocketAddr,
    routes: Arc<RocketRoutes>,
    state: Arc<EntryState>,
    stopped: watch::Sender<bool>,
}

/// Handle with which an [`EntryServer`] is shut down.
#[derive(Debug, Clone)]
pub struct EntryShutdown(watch::Sender<bool>);

impl EntryShutdown {
    /// Lets the server take no more connections, and close the open ones once their answers are written.
    pub fn notify(&self) {
        self.0.send_replace(true);
    }
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
        let routes = Arc::new(RocketRoutes::new(rocket(Arc::clone(&state))).await?);
        Ok(EntryServer { addr, routes, state, stopped: watch::channel(false).0 })
    }

    /// Handle to shut the server down, after which [`serve`](EntryServer::serve) returns.
    pub fn shutdown(&self) -> EntryShutdown {
        EntryShutdown(self.stopped.clone())
    }

    /// Binds the address and serves until shutdown.
    ///
    /// # Errors
    ///
    /// [`io::Error`] if the address cannot be bound.
    pub async fn serve(self) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr).await?;
        let server = Arc::new(self);
        let mut stopped = server.stopped.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // The sender lives as long as the server.
                _ = stopped.wait_for(|it| *it) => break,
            };
            match accepted {
                Ok((io, caller)) => {
                    // A connection for which there is no room is closed.
                    if let Some(slot) = server.state.connections.open() {
                        tokio::spawn(Arc::clone(&server).serve_bounded(io, caller, Arc::new(slot)));
                    }
                }
                Err(err) => {
                    log::error!("accept failed reason={:?}", err.to_string());
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        server.wait_until_closed().await;
        Ok(())
    }

    async fn wait_until_closed(&self) {
        let end = Instant::now() + SHUTDOWN_GRACE;
        while self.state.connections.open_count() > 0 && Instant::now() < end {
            sleep(SHUTDOWN_CHECK_INTERVAL).await;
        }
    }

    /// Serves a connection until it ends, or is closed to make room.
    async fn serve_bounded(
        self: Arc<EntryServer>,
        io: TcpStream,
        caller: SocketAddr,
        slot: Arc<ConnectionSlot>,
    ) {
        if let Err(err) = io.set_nodelay(true) {
            log::debug!("cannot set TCP_NODELAY reason={:?}", err.to_string());
        }
        let max_buf_bytes = MIN_BUF_BYTES.max(2 * self.state.max_header_bytes);
        if !slot.set_buffers(CONNECTION_BYTES + max_buf_bytes + MAX_READ_AHEAD_BYTES) {
            return;
        }
        let io = HangupIo::new(io, BytesMut::new(), Arc::clone(&slot));
        let connection = HttpConnection::new(io, max_buf_bytes);
        let service = |req| Arc::clone(&self).answer(req, caller, Arc::clone(&slot));
        tokio::select! {
            () = connection.serve(service, || KEEP_ALIVE, self.wait_until_stopped()) => {}
            () = slot.wait_until_closed() => {}
        }
    }

    async fn wait_until_stopped(&self) {
        // The sender lives as long as the server, so waiting cannot fail.
        let _ = self.stopped.subscribe().wait_for(|it| *it).await;
    }

    async fn answer(
        self: Arc<EntryServer>,
        req: Request<Incoming>,
        caller: SocketAddr,
        slot: Arc<ConnectionSlot>,
    ) -> Response<EntryBody> {
        let _running = slot.start_request();
        let (parts, body) = req.into_parts();
        let (max_bytes, memory) = (self.state.max_body_bytes, &self.state.memory);
        let body = ReadBody::read(body, max_bytes, memory, &slot).await;
        let req = EntryRequest { parts, body, caller, slot: Arc::clone(&slot) };
        Arc::clone(&self.routes).call(req).await
    }
}

fn rocket(state: Arc<EntryState>) -> Rocket<Build> {
    let config = Config {
        ident: Ident::none(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ..Config::default()
    };
    rocket::custom(config)
        .attach(Shield::new())
        .mount("/", call_routes(&state))
        .mount("/", vec![key_route(&state)])
        .mount("/pollenlever/v1/target", target_routes())
        .mount("/", control_routes())
        .register("/", vec![default_catcher()])
        .manage(state)
}

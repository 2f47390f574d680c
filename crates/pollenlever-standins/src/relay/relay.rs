use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Instant;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use super::forwarder::Forwarder;
use super::{LinkState, Links, Location};

/// Why the relay could not start.
#[derive(Debug, Error)]
pub enum RelayError {
    /// An address could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// Address to listen on.
        addr: SocketAddr,
        /// Why it could not be bound.
        source: std::io::Error,
    },
    /// An address does not encode a location.
    #[error("{0} is not of the form 127.REGION.ZONE.N")]
    InvalidAddress(SocketAddr),
    /// The runtime could not start.
    #[error("cannot start the relay's runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Relays connections from its listen addresses to other addresses, over [`Links`]; dropping it
/// stops it.
#[derive(Debug)]
pub struct Relay {
    links: Links,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts to relay connections for each `(listen, to)` pair, on its own threads.
    ///
    /// # Errors
    ///
    /// [`RelayError`] if an address cannot be bound or a `to` address is not `127.REGION.ZONE.N`.
    pub fn start(routes: &[(SocketAddr, SocketAddr)]) -> Result<Relay, RelayError> {
        let links = Links::default();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .thread_name("relay")
            .build()?;
        for &(listen, to) in routes {
            start_listener(&runtime, links.clone(), listen, to)?;
        }
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Ok(Relay { links, stop: Some(stop), thread: Some(thread) })
    }

    /// The links, whose state can be changed while the relay runs.
    pub fn links(&self) -> &Links {
        &self.links
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn start_listener(
    runtime: &Runtime,
    links: Links,
    listen: SocketAddr,
    to: SocketAddr,
) -> Result<(), RelayError> {
    let location = Location::of(to).ok_or(RelayError::InvalidAddress(to))?;
    let listener = runtime
        .block_on(TcpListener::bind(listen))
        .map_err(|source| RelayError::Listen { addr: listen, source })?;
    runtime.spawn(async move {
        while let Ok((client, from)) = listener.accept().await {
            // A client without a location in its address counts as being in that of the listener.
            let from = Location::of(from).or(Location::of(listen)).unwrap_or(location);
            tokio::spawn(relay_connection(links.clone(), client, from, to, location));
        }
    });
    Ok(())
}

async fn relay_connection(
    links: Links,
    client: TcpStream,
    from: Location,
    to: SocketAddr,
    location: Location,
) {
    let opened = Instant::now();
    let link = links.link(from, location, opened);
    if link.state == LinkState::Cut {
        return;
    }
    tokio::time::sleep(2 * link.delay).await; // round trip of the TCP handshake
    let Ok(server) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let to_server = Forwarder { links: links.clone(), from, to: location, opened };
    let to_client = Forwarder { links, from: location, to: from, opened };
    // When one direction ends, the other continues (half-closed connection); an error ends both.
    let _ =
        tokio::try_join!(to_server.run(client_rx, server_tx), to_client.run(server_rx, client_tx));
}

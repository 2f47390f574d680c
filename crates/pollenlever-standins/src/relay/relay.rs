use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Instant;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use super::pump::Pump;
use super::{LinkState, Links, Place};

/// A relay that could not start.
#[derive(Debug, Error)]
pub enum RelayError {
    /// An address could not be bound.
    #[error("cannot listen on {addr}: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// An address does not name a place.
    #[error("{0} is not of the form 127.REGION.ZONE.N")]
    NoPlace(SocketAddr),
    /// The runtime could not start.
    #[error("cannot start the relay's runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

/// Relays connections from `listen` addresses to `to` addresses over [`Links`].
#[derive(Debug)]
pub struct Relay {
    links: Links,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    /// Starts a thread that relays each `(listen, to)` pair.
    ///
    /// # Errors
    ///
    /// [`RelayError`] if an address cannot be bound or names no place.
    pub fn start(routes: &[(SocketAddr, SocketAddr)]) -> Result<Relay, RelayError> {
        let links = Links::default();
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .thread_name("relay")
            .build()?;
        for &(listen, to) in routes {
            start_route(&runtime, links.clone(), listen, to)?;
        }
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let _ = runtime.block_on(stopped);
            runtime.shutdown_background();
        });
        Ok(Relay { links, stop: Some(stop), thread: Some(thread) })
    }

    /// The links, to be changed while the relay runs.
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

fn start_route(
    runtime: &Runtime,
    links: Links,
    listen: SocketAddr,
    to: SocketAddr,
) -> Result<(), RelayError> {
    let place = Place::of(to).ok_or(RelayError::NoPlace(to))?;
    let listener = runtime
        .block_on(TcpListener::bind(listen))
        .map_err(|source| RelayError::Listen { addr: listen, source })?;
    runtime.spawn(async move {
        while let Ok((conn, from)) = listener.accept().await {
            // A client that binds no address of its own stands where it is listened for.
            let from = Place::of(from).or(Place::of(listen)).unwrap_or(place);
            tokio::spawn(relay_one(links.clone(), conn, from, to, place));
        }
    });
    Ok(())
}

async fn relay_one(links: Links, conn: TcpStream, from: Place, to: SocketAddr, place: Place) {
    let opened = Instant::now();
    let link = links.between(from, place, opened);
    if link.state == LinkState::Cut {
        return;
    }
    tokio::time::sleep(2 * link.delay).await; // the handshake of a connection
    let Ok(onward) = TcpStream::connect(to).await else { return };
    let _ = (conn.set_nodelay(true), onward.set_nodelay(true));
    let (conn_rx, conn_tx) = conn.into_split();
    let (onward_rx, onward_tx) = onward.into_split();
    let there = Pump { links: links.clone(), from, to: place, opened };
    let back = Pump { links, from: place, to: from, opened };
    // A half that has ended lets the other go on, as a half-closed connection does, unless it failed.
    let _ = tokio::try_join!(there.run(conn_rx, onward_tx), back.run(onward_rx, conn_tx));
}

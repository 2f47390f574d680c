use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::serde::json::Json;
use rocket::{State as Managed, get, post, routes};
use tokio::signal::unix::{SignalKind, signal};

use super::handler::TargetHandler;
use super::reporter;
use super::state::State;
use super::{Faults, TargetOptions};

/// Time for which a leaving target keeps serving, so that its notice can reach all nodes.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(3);

#[post("/_faults", data = "<faults>")]
fn set_faults(state: &Managed<Arc<State>>, faults: Json<Faults>) {
    state.set_faults(faults.into_inner());
}

#[get("/_load")]
fn get_load(state: &Managed<Arc<State>>) -> String {
    state.in_flight.load(Ordering::Relaxed).to_string()
}

/// Serves a stand-in target until SIGTERM; then it announces that it leaves and stops when no
/// request is in flight.
///
/// # Errors
///
/// Any error of opening the run log or of binding the address.
pub async fn serve(options: TargetOptions) -> io::Result<()> {
    let listen = options.listen;
    let state = Arc::new(State::new(options)?);
    let config = Config {
        address: listen.ip(),
        port: listen.port(),
        workers: 2,
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        shutdown: Shutdown { ctrlc: false, signals: Default::default(), ..Shutdown::default() },
        ..Config::default()
    };
    let rocket = rocket::custom(config)
        .manage(Arc::clone(&state))
        .mount("/", routes![set_faults, get_load])
        .mount("/", TargetHandler(Arc::clone(&state)))
        .ignite()
        .await
        .map_err(io::Error::other)?;
    let shutdown = rocket.shutdown();
    tokio::spawn(reporter::run(Arc::clone(&state)));
    tokio::spawn(async move {
        drain_on_sigterm(&state).await;
        shutdown.notify();
    });
    rocket.launch().await.map(drop).map_err(io::Error::other)
}

async fn drain_on_sigterm(state: &State) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    terminate.recv().await;
    state.leaving.store(true, Ordering::Relaxed);
    reporter::announce_leaving(state).await;
    tokio::time::sleep(LEAVE_PROPAGATION_TIME).await;
    while state.in_flight.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

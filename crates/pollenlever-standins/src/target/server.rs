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

/// Time that a leaving target goes on serving, so that its notice can spread.
const LEAVE_NOTICE: Duration = Duration::from_secs(3);

#[post("/_faults", data = "<faults>")]
fn set_faults(state: &Managed<Arc<State>>, faults: Json<Faults>) {
    state.set_faults(faults.into_inner());
}

#[get("/_load")]
fn load(state: &Managed<Arc<State>>) -> String {
    state.present.load(Ordering::Relaxed).to_string()
}

/// Serves a stand-in target until SIGTERM; then it leaves and ends after its last answer.
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
        .mount("/", routes![set_faults, load])
        .mount("/", TargetHandler(Arc::clone(&state)))
        .ignite()
        .await
        .map_err(io::Error::other)?;
    let shutdown = rocket.shutdown();
    tokio::spawn(reporter::report(Arc::clone(&state)));
    tokio::spawn(async move {
        wait_for_leave(&state).await;
        shutdown.notify();
    });
    rocket.launch().await.map(drop).map_err(io::Error::other)
}

async fn wait_for_leave(state: &State) {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
    terminate.recv().await;
    state.leaving.store(true, Ordering::Relaxed);
    reporter::announce_leaving(state).await;
    tokio::time::sleep(LEAVE_NOTICE).await;
    while state.present.load(Ordering::Relaxed) > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

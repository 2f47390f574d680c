//! Runs the in-memory stand-in for the platform's object API as a process.

use std::process::ExitCode;

use pollenlever_standins::store::{Store, StoreSettings};

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Stand-in for the platform's object API.
        cmd pollenlever-store {
            /// Address to listen on, such as 127.0.0.1:7300.
            required --listen addr: SocketAddr
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::PollenleverStore::from_env_or_exit();
    let addr = flags.listen;
    match Store::start(StoreSettings { addr, ..StoreSettings::default() }) {
        Ok(store) => {
            println!("listening on {}", store.addr());
            store.join();
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("pollenlever-store: {err}");
            ExitCode::FAILURE
        }
    }
}

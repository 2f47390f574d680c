use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::chain::Chain;
use super::order::Order;
use crate::caller::{Caller, CallerError};

/// Longest wait of a caller, longer than every declared deadline.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of orders among the requests.
const ORDER_CHANCE: f64 = 0.6;
/// Time between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(2);

/// What the callers of a run sent and were told.
#[derive(Debug, Default)]
pub(super) struct Workload {
    pub(super) orders: Vec<Order>,
    pub(super) chains: Vec<Chain>,
}

impl Workload {
    /// Sends orders and chains as one caller until `stop` is set.
    pub(super) fn run(
        entries: &[SocketAddr],
        seed: u64,
        number: u64,
        stop: &AtomicBool,
    ) -> Result<Workload, CallerError> {
        let caller = Caller::new(CALLER_TIMEOUT)?;
        let mut rng = StdRng::seed_from_u64(seed ^ (number << 32));
        let mut workload = Workload::default();
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("{number}-{n}");
            if rng.random_bool(ORDER_CHANCE) {
                workload.orders.extend(Order::place(&caller, entries, &mut rng, &id));
            } else {
                workload.chains.extend(Chain::run(&caller, entries, &mut rng, &id));
            }
            std::thread::sleep(PAUSE);
        }
        Ok(workload)
    }

    /// Adds what another caller sent.
    pub(super) fn merge(&mut self, other: Workload) {
        self.orders.extend(other.orders);
        self.chains.extend(other.chains);
    }
}

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::chain::Chain;
use super::order::Order;
use crate::caller::{Caller, CallerError};

/// Time for which a caller waits for an answer; longer than every declared deadline.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Probability that a request is an order rather than a chain.
const ORDER_PROBABILITY: f64 = 0.6;
/// Pause of a caller between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(2);

/// Requests that the callers of a trial sent, with the answers that they received.
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
            if rng.random_bool(ORDER_PROBABILITY) {
                workload.orders.extend(Order::send(&caller, entries, &mut rng, &id));
            } else {
                workload.chains.extend(Chain::run(&caller, entries, &mut rng, &id));
            }
            std::thread::sleep(REQUEST_PAUSE);
        }
        Ok(workload)
    }

    /// Adds the requests of another caller.
    pub(super) fn merge(&mut self, other: Workload) {
        self.orders.extend(other.orders);
        self.chains.extend(other.chains);
    }
}

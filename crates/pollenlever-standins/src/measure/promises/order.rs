use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::caller::{Call, Caller};

/// Most times that a caller sends an order.
const MAX_SENDS: usize = 4;
/// Probability that a caller resends an order that was answered.
const RESEND_PROBABILITY: f64 = 0.3;

/// A non-idempotent request and the outcomes that its answers reported.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Order {
    /// HTTP path and query, unique to the order.
    pub(super) path: String,
    /// Whether an answer said that it was not run.
    pub(super) reported_not_run: bool,
    /// Bodies of the answers that said that it ran.
    pub(super) answers: Vec<String>,
}

impl Order {
    /// Fetches a request key and sends an order; resends it through random nodes while no answer
    /// comes, and at times also after an answer.
    ///
    /// Returns `None` if no key was issued.
    pub(super) fn send(
        caller: &Caller,
        entries: &[SocketAddr],
        rng: &mut StdRng,
        id: &str,
    ) -> Option<Order> {
        let key = caller.fetch_key(*entries.choose(rng)?).ok()??;
        let mut order = Order { path: format!("/order?id={id}"), ..Order::default() };
        let path = format!("stock{}", order.path);
        let call = Call { method: "POST", path: &path, key: Some(&key), chain_id: None };
        for _ in 0..MAX_SENDS {
            let Ok(reply) = caller.call(*entries.choose(rng)?, &call) else { continue };
            order.reported_not_run |= reply.outcome == "not-run";
            if reply.outcome == "ran" {
                order.answers.push(reply.text);
            }
            if !rng.random_bool(RESEND_PROBABILITY) {
                break;
            }
        }
        Some(order)
    }
}

use std::net::SocketAddr;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::caller::{Call, Caller};

/// Times that a caller sends an order at most.
const MAX_SENDS: usize = 4;
/// Chance that a caller resends an order that was answered.
const RESEND_CHANCE: f64 = 0.3;

/// A non-idempotent request and what its caller was told.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Order {
    /// HTTP path and query, unique to the order.
    pub(super) path: String,
    /// Whether a caller was told that it was not run.
    pub(super) told_not_run: bool,
    /// Texts of the answers that said that it ran.
    pub(super) answers: Vec<String>,
}

impl Order {
    /// Takes a key and sends an order, and again through other nodes while no answer comes.
    pub(super) fn place(
        caller: &Caller,
        entries: &[SocketAddr],
        rng: &mut StdRng,
        id: &str,
    ) -> Option<Order> {
        let key = caller.take_key(*entries.choose(rng)?).ok()??;
        let mut order = Order { path: format!("/order?id={id}"), ..Order::default() };
        let path = format!("stock{}", order.path);
        let call = Call { method: "POST", path: &path, key: Some(&key), chain: None };
        for _ in 0..MAX_SENDS {
            let Ok(reply) = caller.call(*entries.choose(rng)?, &call) else { continue };
            order.told_not_run |= reply.outcome == "not-run";
            if reply.outcome == "ran" {
                order.answers.push(reply.text);
            }
            if !rng.random_bool(RESEND_CHANCE) {
                break;
            }
        }
        Some(order)
    }
}

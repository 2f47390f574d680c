use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::caller::{Call, Caller};

/// Most times that a caller sends the request of one chain.
const MAX_SENDS: usize = 4;

/// A request that passes through both services; the caller and the targets resend it after an error
/// without considering its reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Chain {
    /// HTTP path and query, unique to the chain.
    pub(super) path: String,
    /// Bodies of the successful answers.
    pub(super) answers: Vec<String>,
}

impl Chain {
    /// Sends a request, and resends it through random nodes under its chain id while it fails.
    ///
    /// Returns `None` if a failure names no chain.
    pub(super) fn run(
        caller: &Caller,
        entries: &[SocketAddr],
        rng: &mut StdRng,
        id: &str,
    ) -> Option<Chain> {
        let mut chain = Chain { path: format!("/read?id={id}"), ..Chain::default() };
        let path = format!("sheets{}", chain.path);
        let mut chain_id: Option<String> = None;
        for _ in 0..MAX_SENDS {
            let call = Call { path: &path, chain_id: chain_id.as_deref(), ..Call::default() };
            let Ok(reply) = caller.call(*entries.choose(rng)?, &call) else { break };
            if reply.status == 200 {
                chain.answers.push(reply.text);
                break;
            }
            chain_id = Some(reply.chain_id?);
        }
        Some(chain)
    }
}

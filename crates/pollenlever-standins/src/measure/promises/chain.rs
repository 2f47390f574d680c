use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::caller::{Call, Caller};

/// Times that a caller sends a request of one chain at most.
const MAX_SENDS: usize = 4;

/// A request through both services, with blind resends at each layer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Chain {
    /// HTTP path and query, unique to the chain.
    pub(super) path: String,
    /// Texts of the answers that said that it ran.
    pub(super) answers: Vec<String>,
}

impl Chain {
    /// Sends a request, and again under its chain id through other nodes while it fails.
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
            let call = Call { path: &path, chain: chain_id.as_deref(), ..Call::default() };
            let Ok(reply) = caller.call(*entries.choose(rng)?, &call) else { break };
            if reply.status == 200 {
                chain.answers.push(reply.text);
                break;
            }
            chain_id = Some(reply.chain?);
        }
        Some(chain)
    }
}

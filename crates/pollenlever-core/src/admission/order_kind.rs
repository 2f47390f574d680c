/// Order of requests with the same importance, depth and workspace while a gate is overloaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OrderKind {
    /// By a stable hash of the chain, so that every gate prefers the same chains.
    #[default]
    ChainHash,
    /// Oldest first.
    Fifo,
    /// Newest first.
    Lifo,
}

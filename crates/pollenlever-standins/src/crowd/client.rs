use super::Reading;

/// How a client behaves.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    /// What it sends first, this number of times.
    pub opening: (&'static str, usize),
    /// What it then repeats until the node no longer reads, closes the connection, or has got
    /// 256 KiB.
    pub tail: &'static str,
    /// What it sends last.
    pub ending: &'static str,
    /// How it reads.
    pub reading: Reading,
}

impl Default for Client {
    fn default() -> Client {
        Client { opening: ("", 1), tail: "", ending: "", reading: Reading::Never }
    }
}

use std::collections::HashMap;
use std::process::Command;

use crate::measure::MeasureError;

/// Bytes of IP and TCP headers, with timestamps, of one segment.
const HEADER_BYTES: u64 = 52;

/// Bytes that all sockets of some ports sent and received, as `ss` tells them.
#[derive(Debug, Default)]
pub(crate) struct SocketBytes {
    by_socket: HashMap<String, u64>,
    total: u64,
}

impl SocketBytes {
    /// Adds what was sent and received since the last call. Sockets that closed in between are
    /// left out.
    pub(crate) fn update(&mut self, ports: &[u16]) -> Result<(), MeasureError> {
        let ends = ports.iter().map(|port| format!("sport = :{port} or dport = :{port}"));
        let filter = format!("( {} )", ends.collect::<Vec<_>>().join(" or "));
        let out = Command::new("ss").args(["-tinHO", &filter]).output()?;
        let text = String::from_utf8_lossy(&out.stdout);
        let mut by_socket = HashMap::new();
        for line in text.lines() {
            let ends: Vec<&str> = line.split_whitespace().skip(3).take(2).collect();
            let socket = ends.join(" ");
            let bytes = socket_bytes(line);
            let before = self.by_socket.get(&socket).copied().unwrap_or(0);
            self.total += bytes.saturating_sub(before);
            by_socket.insert(socket, bytes);
        }
        self.by_socket = by_socket;
        Ok(())
    }

    /// Bytes since the first call, headers included.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Forgets the bytes, but not the sockets.
    pub(crate) fn reset(&mut self) {
        self.total = 0;
    }

    /// Open sockets.
    pub(crate) fn sockets(&self) -> usize {
        self.by_socket.len()
    }
}

fn socket_bytes(line: &str) -> u64 {
    let field = |name: &str| {
        let found = line.split_whitespace().find_map(|it| it.strip_prefix(name));
        found.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
    };
    let payload = field("bytes_sent:") + field("bytes_received:");
    payload + HEADER_BYTES * (field("segs_out:") + field("segs_in:"))
}

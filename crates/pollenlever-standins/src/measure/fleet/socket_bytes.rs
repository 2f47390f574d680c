use std::collections::HashMap;
use std::process::Command;

use crate::measure::MeasurementError;

/// Size of the IP and TCP headers, with timestamps, of one segment, in bytes.
const HEADER_BYTES: u64 = 52;

/// Bytes sent and received by the sockets on some ports, as reported by `ss`.
#[derive(Debug, Default)]
pub(crate) struct SocketBytes {
    by_socket: HashMap<String, u64>,
    total_bytes: u64,
}

impl SocketBytes {
    /// Adds the bytes sent and received since the last call. A socket that has closed since then
    /// is not counted.
    ///
    /// # Errors
    ///
    /// Any error of running `ss`.
    pub(crate) fn update(&mut self, ports: &[u16]) -> Result<(), MeasurementError> {
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
            self.total_bytes += bytes.saturating_sub(before);
            by_socket.insert(socket, bytes);
        }
        self.by_socket = by_socket;
        Ok(())
    }

    /// Bytes counted since the last reset, headers included.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Sets the total to 0, but keeps the counters of the open sockets to compare with.
    pub(crate) fn reset(&mut self) {
        self.total_bytes = 0;
    }

    /// Number of sockets that were open at the last update.
    pub(crate) fn socket_count(&self) -> usize {
        self.by_socket.len()
    }
}

/// Bytes in both directions, headers included, from one line of `ss`.
fn socket_bytes(line: &str) -> u64 {
    let field = |name: &str| {
        let found = line.split_whitespace().find_map(|it| it.strip_prefix(name));
        found.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0)
    };
    let payload = field("bytes_sent:") + field("bytes_received:");
    payload + HEADER_BYTES * (field("segs_out:") + field("segs_in:"))
}

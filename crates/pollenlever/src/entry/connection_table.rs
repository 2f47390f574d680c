use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};

/// Code of the state `ESTABLISHED` in `/proc/net/tcp` and `/proc/net/tcp6`.
const ESTABLISHED: &str = "01";

/// Remote addresses of the established connections to one local port, as the kernel lists them.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    remotes: HashSet<String>,
}

impl ConnectionTable {
    /// Reads the connections to the port of `local`. `None` if the kernel table cannot be read.
    pub(super) fn read(local: SocketAddr) -> Option<ConnectionTable> {
        let file = if local.is_ipv4() { "/proc/net/tcp" } else { "/proc/net/tcp6" };
        let text = std::fs::read_to_string(file).ok()?;
        Some(ConnectionTable::parse(&text, local.port()))
    }

    fn parse(text: &str, local_port: u16) -> ConnectionTable {
        let suffix = format!(":{local_port:04X}");
        let rows = text.lines().skip(1).filter_map(|line| {
            let mut columns = line.split_ascii_whitespace().skip(1);
            let (local, remote, state) = (columns.next()?, columns.next()?, columns.next()?);
            (local.ends_with(&suffix) && state == ESTABLISHED).then(|| remote.to_owned())
        });
        ConnectionTable { remotes: rows.collect() }
    }

    /// Whether a connection from `remote` is established.
    pub(super) fn is_established(&self, remote: SocketAddr) -> bool {
        self.remotes.contains(&kernel_format(remote))
    }
}

/// Formats an address as the kernel table does: 32-bit words in native byte order and the port, in
/// hexadecimal.
fn kernel_format(addr: SocketAddr) -> String {
    let words = match addr.ip() {
        IpAddr::V4(ip) => format!("{:08X}", u32::from_ne_bytes(ip.octets())),
        IpAddr::V6(ip) => {
            let bytes = ip.octets();
            let words = bytes.chunks_exact(4).map(|it| [it[0], it[1], it[2], it[3]]);
            words.map(|it| format!("{:08X}", u32::from_ne_bytes(it))).collect()
        }
    };
    format!("{words}:{:04X}", addr.port())
}

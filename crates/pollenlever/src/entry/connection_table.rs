use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};

/// State of an established connection in the system's table.
const ESTABLISHED: &str = "01";

/// Established connections to one local port, as the system lists them.
#[derive(Debug, Default)]
pub(super) struct ConnectionTable {
    remotes: HashSet<String>,
}

impl ConnectionTable {
    /// Reads the connections to `local`. `None` if the system does not list them.
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
        self.remotes.contains(&listed_form(remote))
    }
}

/// The form in which the table lists an address: words in the machine's byte order, in hex.
fn listed_form(addr: SocketAddr) -> String {
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

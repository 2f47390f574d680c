use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Region and availability zone, encoded as octets of a loopback address.
///
/// ```
/// use pollenlever_standins::relay::Location;
/// let location = Location { region: 2, zone: 1 };
/// assert_eq!(location.addr(7, 7100).to_string(), "127.2.1.7:7100");
/// assert_eq!(Location::of(location.addr(7, 7100)), Some(location));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Location {
    /// Number of the region, from 1.
    pub region: u8,
    /// Number of the availability zone within the region, from 1.
    pub zone: u8,
}

impl Location {
    /// Address of machine number `n` in this location.
    pub fn addr(self, n: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.region, self.zone, n), port))
    }

    /// Location of an address; `None` if it does not have the form that [`Location::addr`] gives.
    pub fn of(addr: SocketAddr) -> Option<Location> {
        match addr.ip() {
            IpAddr::V4(ip) => match ip.octets() {
                [127, region, zone, _] if region > 0 && zone > 0 => Some(Location { region, zone }),
                _ => None,
            },
            IpAddr::V6(_) => None,
        }
    }
}

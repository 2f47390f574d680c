use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Region and availability zone, encoded as octets of a loopback address.
///
/// ```
/// use pollenlever_standins::relay::Place;
/// let place = Place { region: 2, zone: 1 };
/// assert_eq!(place.addr(7, 7100).to_string(), "127.2.1.7:7100");
/// assert_eq!(Place::of(place.addr(7, 7100)), Some(place));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Place {
    /// Number of the region, from 1.
    pub region: u8,
    /// Number of the availability zone within the region, from 1.
    pub zone: u8,
}

impl Place {
    /// Address of machine number `n` in this place.
    pub fn addr(self, n: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.region, self.zone, n), port))
    }

    /// Place of an address; `None` if it does not have the form that [`Place::addr`] gives.
    pub fn of(addr: SocketAddr) -> Option<Place> {
        match addr.ip() {
            IpAddr::V4(ip) => match ip.octets() {
                [127, region, zone, _] if region > 0 && zone > 0 => Some(Place { region, zone }),
                _ => None,
            },
            IpAddr::V6(_) => None,
        }
    }
}

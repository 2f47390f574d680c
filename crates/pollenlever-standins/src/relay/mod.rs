//! A TCP relay that delays, silences or cuts the links between zones and regions.
//!
//! Every process of a deployment has a loopback address `127.REGION.ZONE.N`, from which the relay
//! derives the location of both ends of a connection.

mod forwarder;
mod link;
mod links;
mod location;
mod relay;

pub use link::{Link, LinkState};
pub use links::Links;
pub use location::Location;
pub use relay::{Relay, RelayError};

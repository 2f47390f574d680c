//! A TCP relay that delays, silences or cuts the links between zones and regions.
//!
//! Every process of a deployment has a loopback address `127.REGION.ZONE.N`, from which the relay
//! derives the location of both ends of a connection.

mod forwarder;
mod link;
mod links;
mod place;
mod relay;

pub use link::{Link, LinkState};
pub use links::Links;
pub use place::Place;
pub use relay::{Relay, RelayError};

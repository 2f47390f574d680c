//! A relay that delays, limits or cuts the links between zones and regions.
//!
//! Every process of a deployment has a loopback address `127.REGION.ZONE.N`, so that the relay
//! knows both ends of a connection by their addresses.

mod link;
mod links;
mod place;
mod pump;
mod relay;

pub use link::{Link, LinkState};
pub use links::Links;
pub use place::Place;
pub use relay::{Relay, RelayError};

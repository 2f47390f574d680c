//! Client of the platform's object API, a store of versioned JSON objects.

mod kind_object;
mod object;
mod object_api;
mod objective_object;
mod peers_object;
mod service_object;
mod store_client;
mod store_error;
mod submit;

pub use kind_object::KindObject;
pub use object::{NamedObject, Object, ObjectList};
pub use object_api::{ObjectApi, SharedObjectApi, StoreFuture};
pub use objective_object::ObjectiveObject;
pub use peers_object::PeersObject;
pub use service_object::{InvalidObject, ServiceObject};
pub use store_client::StoreClient;
pub use store_error::StoreError;
pub use submit::{Accepted, SubmitError, SubmitSettings, submit};

use pollenlever_core::config::ConfigVersion;

/// Kind of the [`ServiceObject`]s; an object has the name of its service.
pub const SERVICES_KIND: &str = "services";
/// Kind of the [`PeersObject`]s; an object has the name of its region.
pub const PEERS_KIND: &str = "peers";
/// Position in the store's sequence of updates; also the version that an update gives to its
/// object.
pub type Revision = u64;
/// Version that stands for an object that does not exist.
pub const ABSENT_VERSION: ConfigVersion = 0;

use std::time::Duration;

use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use super::KindObject;

/// Number of submission ids that an object keeps; older ones are dropped.
pub(super) const MAX_SUBMISSION_IDS: usize = 16;

/// A value in the store that cannot be read as a [`ServiceObject`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InvalidObject {
    /// A field is missing or has another type.
    #[error("not a service object: {0}")]
    Malformed(String),
    /// The importance of a kind is not one of the known words.
    #[error("unknown importance {0:?}")]
    UnknownImportance(String),
}

/// A [`ServiceConfig`] as stored in JSON, with the ids of the submissions that led to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the fields are those of `ServiceConfig`
pub struct ServiceObject {
    pub service: String,
    pub slots: u32,
    pub connections: u32,
    pub regions: Vec<String>,
    pub retention_ms: u64,
    pub retry_ratio: f64,
    pub cross_region_bytes: u64,
    pub ramp_up_ms: u64,
    pub kinds: Vec<KindObject>,
    /// Ids of the latest submissions that took effect, oldest first; at most 16. A submission is
    /// one operator's update, sent until its result is known.
    pub submissions: Vec<String>,
}

impl ServiceObject {
    /// Creates the object with which `submission` replaces an object that lists the `earlier` ids.
    ///
    /// ```
    /// use pollenlever::store::ServiceObject;
    /// use pollenlever_core::config::ServiceConfig;
    /// let object = ServiceObject::new(&ServiceConfig::default(), &[], "a1");
    /// assert!(object.has_submission("a1"));
    /// assert_eq!(object.to_config(7).unwrap().version, 7);
    /// ```
    pub fn new(cfg: &ServiceConfig, earlier: &[String], submission: &str) -> ServiceObject {
        let kept = earlier.len().saturating_sub(MAX_SUBMISSION_IDS - 1);
        let mut submissions = earlier[kept..].to_vec();
        submissions.push(submission.to_owned());
        ServiceObject {
            service: cfg.service.to_string(),
            slots: cfg.slots,
            connections: cfg.connections,
            regions: cfg.regions.iter().map(ToString::to_string).collect(),
            retention_ms: cfg.retention.as_millis() as u64,
            retry_ratio: cfg.retry_ratio,
            cross_region_bytes: cfg.cross_region_bytes,
            ramp_up_ms: cfg.ramp_up.as_millis() as u64,
            kinds: cfg.kinds.iter().map(KindObject::from).collect(),
            submissions,
        }
    }

    /// Reads the object from its JSON value.
    ///
    /// # Errors
    ///
    /// [`InvalidObject::Malformed`] if a field is missing or has another type.
    pub fn from_value(value: &Value) -> Result<ServiceObject, InvalidObject> {
        ServiceObject::deserialize(value).map_err(|err| InvalidObject::Malformed(err.to_string()))
    }

    /// Converts the object, which has `version` in the store, to a configuration.
    ///
    /// # Errors
    ///
    /// [`InvalidObject::UnknownImportance`] if a kind has an unknown importance.
    pub fn to_config(&self, version: ConfigVersion) -> Result<ServiceConfig, InvalidObject> {
        Ok(ServiceConfig {
            service: self.service.as_str().into(),
            version,
            slots: self.slots,
            connections: self.connections,
            regions: self.regions.iter().map(|it| it.as_str().into()).collect(),
            retention: Duration::from_millis(self.retention_ms),
            retry_ratio: self.retry_ratio,
            cross_region_bytes: self.cross_region_bytes,
            ramp_up: Duration::from_millis(self.ramp_up_ms),
            kinds: self.kinds.iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }

    /// Whether the submission took effect and its id is still listed.
    pub fn has_submission(&self, submission: &str) -> bool {
        self.submissions.iter().any(|it| it == submission)
    }
}

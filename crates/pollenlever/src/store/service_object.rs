use std::time::Duration;

use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

use super::KindObject;

/// Submission ids that an object keeps.
pub(super) const MAX_SUBMISSIONS: usize = 16;

/// A value in the store that is no [`ServiceObject`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ObjectFault {
    /// The JSON has another form.
    #[error("not the form of a service object: {0}")]
    Form(String),
    /// The importance is none of the declared words.
    #[error("unknown importance {0:?}")]
    Importance(String),
}

/// Form of a [`ServiceConfig`] in the store, with the ids of its last submissions.
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
    /// Ids of the last submissions that took effect, oldest first.
    pub submissions: Vec<String>,
}

impl ServiceObject {
    /// Form of `cfg` that follows an object with `earlier` submissions.
    ///
    /// ```
    /// use pollenlever::store::ServiceObject;
    /// use pollenlever_core::config::ServiceConfig;
    /// let object = ServiceObject::new(&ServiceConfig::default(), &[], "a1");
    /// assert!(object.has_submission("a1"));
    /// assert_eq!(object.to_config(7).unwrap().version, 7);
    /// ```
    pub fn new(cfg: &ServiceConfig, earlier: &[String], submission: &str) -> ServiceObject {
        let kept = earlier.len().saturating_sub(MAX_SUBMISSIONS - 1);
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

    /// Reads the form from a value in the store.
    ///
    /// # Errors
    ///
    /// [`ObjectFault::Form`] if the value has another form.
    pub fn from_value(value: &Value) -> Result<ServiceObject, ObjectFault> {
        ServiceObject::deserialize(value).map_err(|err| ObjectFault::Form(err.to_string()))
    }

    /// The configuration that the object carries at `version`.
    ///
    /// # Errors
    ///
    /// [`ObjectFault::Importance`] if a kind has an unknown importance.
    pub fn to_config(&self, version: ConfigVersion) -> Result<ServiceConfig, ObjectFault> {
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

    /// Whether the submission took effect and is among the last ones.
    pub fn has_submission(&self, submission: &str) -> bool {
        self.submissions.iter().any(|it| it == submission)
    }
}

use std::time::Duration;

use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use thiserror::Error;
use tokio::time::sleep;

use super::service_object::MAX_SUBMISSIONS;
use super::{ABSENT, ObjectApi, SERVICES_KIND, ServiceObject, StoreError};

/// Tries of a submission against a store that is down or slow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitSettings {
    /// Version that the operator saw; `None` to build on whatever the store holds.
    pub expected: Option<ConfigVersion>,
    /// Calls to the store before giving up.
    pub max_calls: u32,
    /// Wait after the first failed call; doubles with each further one.
    pub backoff: Duration,
    /// Longest wait between two calls.
    pub max_backoff: Duration,
}

impl Default for SubmitSettings {
    fn default() -> SubmitSettings {
        SubmitSettings {
            expected: None,
            max_calls: 20,
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// A submission that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Version at or before which the submission took effect.
    pub version: ConfigVersion,
    /// Whether a later submission has already replaced it.
    pub replaced: bool,
}

/// A submission that did not take effect, or whose fate is not known.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SubmitError {
    /// Another submission came first; this one did not take effect.
    #[error("the service was changed by another submission and has version {0}")]
    Conflict(ConfigVersion),
    /// The store refused the submission; it did not take effect.
    #[error("not accepted: {0}")]
    Refused(StoreError),
    /// Whether the submission took effect is not known.
    #[error("the store did not answer; submit again under the same id: {0}")]
    Unknown(StoreError),
}

/// What the store holds for a service.
#[derive(Debug, Clone)]
struct Held {
    version: ConfigVersion,
    submissions: Vec<String>,
}

/// Outcome of one try; `Err` means that another try is worth it.
type Try = Result<Result<Accepted, SubmitError>, StoreError>;

/// Submits a configuration under a unique id until its fate is known.
///
/// Accepted means that the conditional update took effect. When the answer to it is lost, the
/// object is read back and the id looked up, so the update takes effect at most once.
///
/// # Errors
///
/// [`SubmitError`] if another submission came first or the store gives no answer.
pub async fn submit(
    api: &dyn ObjectApi,
    cfg: &ServiceConfig,
    submission: &str,
    settings: &SubmitSettings,
) -> Result<Accepted, SubmitError> {
    let mut run = Submission { api, cfg, id: submission, base: None, in_doubt: false };
    let mut backoff = settings.backoff;
    let mut last_err = StoreError::Unavailable("no call was made".to_owned());
    for _ in 0..settings.max_calls {
        match run.try_once(settings.expected).await {
            Ok(result) => return result,
            Err(err) => last_err = err,
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(settings.max_backoff);
    }
    Err(if run.in_doubt { SubmitError::Unknown(last_err) } else { SubmitError::Refused(last_err) })
}

/// A submission on its way.
struct Submission<'a> {
    api: &'a dyn ObjectApi,
    cfg: &'a ServiceConfig,
    id: &'a str,
    /// What the update builds on; fixed by the first read.
    base: Option<Held>,
    /// Whether an update was sent whose answer was lost.
    in_doubt: bool,
}

impl Submission<'_> {
    async fn try_once(&mut self, expected: Option<ConfigVersion>) -> Try {
        let held = self.read().await?;
        if let Some(at) = held.submissions.iter().position(|it| it == self.id) {
            let replaced = at + 1 < held.submissions.len();
            return Ok(Ok(Accepted { version: held.version, replaced }));
        }
        let base_version = match &self.base {
            Some(base) => base.version,
            None => expected.unwrap_or(held.version),
        };
        if held.version < base_version {
            return Err(StoreError::Unavailable("the read was stale".to_owned()));
        }
        if held.version > base_version {
            return Ok(Err(self.overtaken_by(&held)));
        }
        let base = self.base.get_or_insert(held).clone();
        self.write(&base).await
    }

    async fn write(&mut self, base: &Held) -> Try {
        let object = ServiceObject::new(self.cfg, &base.submissions, self.id);
        let value = serde_json::to_value(&object).map_err(malformed)?;
        match self.api.put(SERVICES_KIND, &self.cfg.service, base.version, &value).await {
            Ok(version) => Ok(Ok(Accepted { version, replaced: false })),
            // The winner may be an earlier update of this submission: read it back.
            Err(err @ StoreError::Conflict(_)) if self.in_doubt => Err(err),
            Err(StoreError::Conflict(current)) => Ok(Err(SubmitError::Conflict(current.version))),
            Err(err @ (StoreError::TooLarge | StoreError::Malformed(_))) => {
                Ok(Err(SubmitError::Refused(err)))
            }
            Err(err) => {
                self.in_doubt |= matches!(err, StoreError::Lost(_));
                Err(err)
            }
        }
    }

    async fn read(&self) -> Result<Held, StoreError> {
        let Some(object) = self.api.get(SERVICES_KIND, &self.cfg.service).await? else {
            return Ok(Held { version: ABSENT, submissions: Vec::new() });
        };
        let form = ServiceObject::from_value(&object.value).map_err(malformed)?;
        Ok(Held { version: object.version, submissions: form.submissions })
    }

    /// The object changed and this submission is not in its list.
    fn overtaken_by(&self, held: &Held) -> SubmitError {
        let newest_of_base = self.base.as_ref().and_then(|it| it.submissions.last());
        let list_is_whole = match newest_of_base {
            Some(id) => held.submissions.contains(id),
            None => held.submissions.len() < MAX_SUBMISSIONS,
        };
        if self.in_doubt && !list_is_whole {
            let reason = "more submissions followed than the object keeps".to_owned();
            return SubmitError::Unknown(StoreError::Lost(reason));
        }
        SubmitError::Conflict(held.version)
    }
}

fn malformed(err: impl ToString) -> StoreError {
    StoreError::Malformed(err.to_string())
}

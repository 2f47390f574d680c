use std::time::Duration;

use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use thiserror::Error;
use tokio::time::sleep;

use super::service_object::MAX_SUBMISSION_IDS;
use super::{ABSENT_VERSION, ObjectApi, SERVICES_KIND, ServiceObject, StoreError};

/// How often and at which intervals a submission calls a store that is down or slow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitSettings {
    /// Version that the operator saw; `None` to replace whichever version the store has.
    pub expected_version: Option<ConfigVersion>,
    /// Tries before giving up; each reads the object and may write it.
    pub max_tries: u32,
    /// Wait after the first failed try; doubles with each further one.
    pub backoff: Duration,
    /// Longest wait between two tries.
    pub max_backoff: Duration,
}

impl Default for SubmitSettings {
    fn default() -> SubmitSettings {
        SubmitSettings {
            expected_version: None,
            max_tries: 20,
            backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// A submission that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Version of the object; the submission took effect at this version or an earlier one.
    pub version: ConfigVersion,
    /// Whether a later submission has already replaced this one.
    pub replaced: bool,
}

/// Why a submission did not take effect, or that its result is not known.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SubmitError {
    /// Another submission came first; this one did not take effect.
    #[error("the service was changed by another submission and now has version {0}")]
    Conflict(ConfigVersion),
    /// The store rejected the submission or could not be reached; it did not take effect.
    #[error("not accepted: {0}")]
    Refused(StoreError),
    /// Whether the submission took effect is not known.
    #[error("the store did not answer; submit again under the same id: {0}")]
    Unknown(StoreError),
}

/// Version of a service's object and the submission ids that it lists.
#[derive(Debug, Clone)]
struct StoredService {
    version: ConfigVersion,
    submissions: Vec<String>,
}

/// Result of one try: the inner result is final, an outer `Err` may be tried again.
type TryResult = Result<Result<Accepted, SubmitError>, StoreError>;

/// Submits a configuration under a unique id and tries again until the result is known.
///
/// `Ok` means that the compare-and-swap of the object took effect. If its response is lost, the
/// object is read back and searched for the id, so the update takes effect at most once.
///
/// # Errors
///
/// [`SubmitError`] if another submission came first, the store rejected the update, or it did not
/// answer within the allowed tries.
pub async fn submit(
    api: &dyn ObjectApi,
    cfg: &ServiceConfig,
    submission: &str,
    settings: &SubmitSettings,
) -> Result<Accepted, SubmitError> {
    let mut run = Submission { api, cfg, id: submission, base: None, may_have_taken_effect: false };
    let mut backoff = settings.backoff;
    let mut last_err = StoreError::Unavailable("no call was made".to_owned());
    for _ in 0..settings.max_tries {
        match run.try_once(settings.expected_version).await {
            Ok(result) => return result,
            Err(err) => last_err = err,
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(settings.max_backoff);
    }
    Err(if run.may_have_taken_effect {
        SubmitError::Unknown(last_err)
    } else {
        SubmitError::Refused(last_err)
    })
}

/// State of a submission across its tries.
struct Submission<'a> {
    api: &'a dyn ObjectApi,
    cfg: &'a ServiceConfig,
    id: &'a str,
    /// The object that the update replaces; set before the first write and then kept.
    base: Option<StoredService>,
    /// Whether the response to an update was lost.
    may_have_taken_effect: bool,
}

impl Submission<'_> {
    async fn try_once(&mut self, expected_version: Option<ConfigVersion>) -> TryResult {
        let stored = self.read().await?;
        if let Some(index) = stored.submissions.iter().position(|it| it == self.id) {
            let replaced = index + 1 < stored.submissions.len();
            return Ok(Ok(Accepted { version: stored.version, replaced }));
        }
        let base_version = match &self.base {
            Some(base) => base.version,
            None => expected_version.unwrap_or(stored.version),
        };
        if stored.version < base_version {
            return Err(StoreError::Unavailable("the read was stale".to_owned()));
        }
        if stored.version > base_version {
            return Ok(Err(self.superseded_error(&stored)));
        }
        let base = self.base.get_or_insert(stored).clone();
        self.write(&base).await
    }

    async fn write(&mut self, base: &StoredService) -> TryResult {
        let object = ServiceObject::new(self.cfg, &base.submissions, self.id);
        let value = serde_json::to_value(&object).map_err(malformed)?;
        match self.api.put(SERVICES_KIND, &self.cfg.service, base.version, &value).await {
            Ok(version) => Ok(Ok(Accepted { version, replaced: false })),
            // The conflicting version may be this submission's own earlier update, whose response
            // was lost, so the next try reads the object again.
            Err(err @ StoreError::Conflict(_)) if self.may_have_taken_effect => Err(err),
            Err(StoreError::Conflict(current)) => Ok(Err(SubmitError::Conflict(current.version))),
            Err(err @ (StoreError::TooLarge | StoreError::Malformed(_))) => {
                Ok(Err(SubmitError::Refused(err)))
            }
            Err(err) => {
                self.may_have_taken_effect |= matches!(err, StoreError::ResponseLost(_));
                Err(err)
            }
        }
    }

    async fn read(&self) -> Result<StoredService, StoreError> {
        let Some(object) = self.api.get(SERVICES_KIND, &self.cfg.service).await? else {
            return Ok(StoredService { version: ABSENT_VERSION, submissions: Vec::new() });
        };
        let service = ServiceObject::from_value(&object.value).map_err(malformed)?;
        Ok(StoredService { version: object.version, submissions: service.submissions })
    }

    /// The error when the object has changed and does not list this submission: a conflict, or
    /// unknown if an update may have taken effect and its id may since have left the list.
    fn superseded_error(&self, stored: &StoredService) -> SubmitError {
        let last_base_id = self.base.as_ref().and_then(|it| it.submissions.last());
        let is_history_complete = match last_base_id {
            Some(id) => stored.submissions.contains(id),
            None => stored.submissions.len() < MAX_SUBMISSION_IDS,
        };
        if self.may_have_taken_effect && !is_history_complete {
            let reason =
                "later submissions may have pushed this one out of the object's list".to_owned();
            return SubmitError::Unknown(StoreError::ResponseLost(reason));
        }
        SubmitError::Conflict(stored.version)
    }
}

fn malformed(err: impl ToString) -> StoreError {
    StoreError::Malformed(err.to_string())
}

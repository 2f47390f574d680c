use pollenlever_core::config::{ConfigVersion, ServiceConfig};
use serde::Serialize;

use super::outcome::Outcome;
use crate::store::{Accepted, SubmitError};

/// Result of `pollenlever apply` for one service of the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct ServiceResult {
    /// Name of the service.
    pub(super) service: String,
    /// What happened to the submission.
    pub(super) outcome: Outcome,
    /// Version in the store; `None` if not known.
    pub(super) version: Option<ConfigVersion>,
    /// Id of the submission; `None` if none was sent.
    pub(super) submission: Option<String>,
    /// Explanation or advice for the operator; may be empty.
    pub(super) note: String,
}

impl ServiceResult {
    /// The store already contains the configuration, as `version`.
    pub(super) fn unchanged(cfg: &ServiceConfig, version: ConfigVersion) -> ServiceResult {
        let base = ServiceResult::new(cfg, Outcome::Unchanged, String::new());
        ServiceResult { version: Some(version), ..base }
    }

    /// The submission took effect, after it was retried for `conflict_retries` submissions of
    /// others that came first.
    pub(super) fn accepted(
        cfg: &ServiceConfig,
        submission: String,
        accepted: Accepted,
        conflict_retries: u32,
    ) -> ServiceResult {
        let note = match (accepted.replaced, conflict_retries) {
            (true, _) => "took effect, then another submission replaced it".to_owned(),
            (false, 0) => String::new(),
            (false, conflict_retries) => {
                format!("put over {conflict_retries} submissions of others that came first")
            }
        };
        let outcome = if accepted.replaced { Outcome::Replaced } else { Outcome::Accepted };
        let base = ServiceResult::new(cfg, outcome, note);
        ServiceResult { version: Some(accepted.version), submission: Some(submission), ..base }
    }

    /// Another submission came first and created `version`.
    pub(super) fn overtaken(
        cfg: &ServiceConfig,
        submission: String,
        version: ConfigVersion,
    ) -> ServiceResult {
        let note = format!(
            "another submission made version {version} while this ran and was left as it is; look \
             at it and apply again, or use --overwrite"
        );
        let base = ServiceResult::new(cfg, Outcome::Overtaken, note);
        ServiceResult { version: Some(version), submission: Some(submission), ..base }
    }

    /// The store refused the submission, or its responses were lost.
    pub(super) fn failed(
        cfg: &ServiceConfig,
        submission: String,
        err: &SubmitError,
    ) -> ServiceResult {
        let outcome = match err {
            SubmitError::Unknown(_) => Outcome::Unknown,
            SubmitError::Refused(_) | SubmitError::Conflict(_) => Outcome::Refused,
        };
        let advice = "apply the manifest again; what was accepted already stays unchanged";
        let base = ServiceResult::new(cfg, outcome, format!("{err}; {advice}"));
        ServiceResult { submission: Some(submission), ..base }
    }

    /// Not sent, because `first` was not accepted.
    pub(super) fn held_back(cfg: &ServiceConfig, first: &ServiceResult) -> ServiceResult {
        let note = format!("not sent, since {} was {}", first.service, first.outcome.as_str());
        ServiceResult::new(cfg, Outcome::HeldBack, note)
    }

    fn new(cfg: &ServiceConfig, outcome: Outcome, note: String) -> ServiceResult {
        let service = cfg.service.to_string();
        ServiceResult { service, outcome, version: None, submission: None, note }
    }
}

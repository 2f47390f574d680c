use serde::Serialize;

use crate::tool::Exit;

/// Result of submitting one service of a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Outcome {
    /// The store already contains the same configuration.
    Unchanged,
    /// The conditional update succeeded.
    Accepted,
    /// The update succeeded, but another submission has replaced it since.
    Replaced,
    /// Another submission changed the service first; this one did not take effect.
    Overtaken,
    /// Not sent, because the first service was not accepted.
    HeldBack,
    /// The store refused the submission, which did not take effect.
    Refused,
    /// The responses of the store were lost, so it is not known whether the submission took effect.
    Unknown,
}

impl Outcome {
    /// Returns the text shown in tables.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Outcome::Unchanged => "unchanged",
            Outcome::Accepted => "accepted",
            Outcome::Replaced => "replaced",
            Outcome::Overtaken => "overtaken",
            Outcome::HeldBack => "held back",
            Outcome::Refused => "refused",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns the exit code of the command if this is its worst outcome.
    pub(super) fn exit(self) -> Exit {
        match self {
            Outcome::Unchanged | Outcome::Accepted | Outcome::HeldBack => Exit::Done,
            Outcome::Replaced | Outcome::Overtaken => Exit::Overtaken,
            Outcome::Refused => Exit::Failed,
            Outcome::Unknown => Exit::Unknown,
        }
    }
}

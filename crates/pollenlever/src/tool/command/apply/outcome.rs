use serde::Serialize;

use crate::tool::Exit;

/// What became of one service of a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Outcome {
    /// The store held the same configuration already.
    Unchanged,
    /// The conditional update took effect.
    Accepted,
    /// The update took effect and another submission has replaced it since.
    Replaced,
    /// Another submission came first; this one did not take effect.
    Overtaken,
    /// Not sent, since the first service was not accepted.
    HeldBack,
    /// The store refused; the submission did not take effect.
    Refused,
    /// The store's answers were lost.
    Unknown,
}

impl Outcome {
    /// Word in tables.
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

    /// Exit code if this is the worst outcome.
    pub(super) fn exit(self) -> Exit {
        match self {
            Outcome::Unchanged | Outcome::Accepted | Outcome::HeldBack => Exit::Done,
            Outcome::Replaced | Outcome::Overtaken => Exit::Overtaken,
            Outcome::Refused => Exit::Failed,
            Outcome::Unknown => Exit::Unknown,
        }
    }
}

use std::str::FromStr;

use bincode::{Decode, Encode};

/// Importance of a kind of request; the least important requests are shed first.
///
/// ```
/// use pollenlever_core::config::Importance;
/// assert!(Importance::Critical > Importance::Sheddable);
/// assert_eq!("normal".parse(), Ok(Importance::Normal));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub enum Importance {
    /// Shed first, such as prefetches and reports.
    Sheddable,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Requests that a person waits for.
    High,
    /// Shed last: charges, top-ups, dispatches and orders.
    Critical,
}

impl Importance {
    /// All values from the least to the most important.
    pub const ALL: [Importance; 4] =
        [Importance::Sheddable, Importance::Normal, Importance::High, Importance::Critical];

    /// Name of the importance in manifests, the files in which operators declare services.
    pub fn as_str(self) -> &'static str {
        match self {
            Importance::Sheddable => "sheddable",
            Importance::Normal => "normal",
            Importance::High => "high",
            Importance::Critical => "critical",
        }
    }
}

impl FromStr for Importance {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Importance, &'static str> {
        let found = Importance::ALL.into_iter().find(|it| it.as_str() == text);
        found.ok_or("expected sheddable, normal, high or critical")
    }
}

use std::str::FromStr;

/// Policy by which a node routes, admits, sheds and retries requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// The overload control policy of Pollenlever.
    #[default]
    Pollenlever,
    /// The baseline that measurements compare Pollenlever with.
    Naive,
}

impl PolicyName {
    /// The spelling used in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Pollenlever => "pollenlever",
            PolicyName::Naive => "naive",
        }
    }
}

impl FromStr for PolicyName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<PolicyName, &'static str> {
        let all = [PolicyName::Pollenlever, PolicyName::Naive];
        let found = all.into_iter().find(|it| it.as_str() == text);
        found.ok_or("expected pollenlever or naive")
    }
}

use std::borrow::Cow;
use std::fmt;

/// Describes the allowed values to the operator, for example `a number from 1 to 36`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected(Cow<'static, str>);

impl From<&'static str> for Expected {
    fn from(text: &'static str) -> Expected {
        Expected(Cow::Borrowed(text))
    }
}

impl From<String> for Expected {
    fn from(text: String) -> Expected {
        Expected(Cow::Owned(text))
    }
}

impl fmt::Display for Expected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

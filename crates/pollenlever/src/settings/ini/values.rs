//! Parsers of single values; each error says what is allowed.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::Expected;

/// Longest name of a region, zone, service or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A number within `range`.
///
/// ```
/// use pollenlever::settings::ini::values::number;
/// assert_eq!(number(1..=36u32)("5"), Ok(5));
/// assert_eq!(number(1..=36u32)("0").unwrap_err().to_string(), "a number from 1 to 36");
/// ```
pub fn number<T>(range: RangeInclusive<T>) -> impl Fn(&str) -> Result<T, Expected>
where
    T: FromStr + PartialOrd + Display,
{
    move |text| {
        let found = text.parse().ok().filter(|it| range.contains(it));
        found.ok_or_else(|| {
            Expected::from(format!("a number from {} to {}", range.start(), range.end()))
        })
    }
}

/// A time in milliseconds within `range`.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::settings::ini::values::millis;
/// assert_eq!(millis(1..=5000)("250"), Ok(Duration::from_millis(250)));
/// ```
pub fn millis(range: RangeInclusive<u64>) -> impl Fn(&str) -> Result<Duration, Expected> {
    move |text| {
        let found = text.parse().ok().filter(|it| range.contains(it)).map(Duration::from_millis);
        found.ok_or_else(|| {
            Expected::from(format!("milliseconds from {} to {}", range.start(), range.end()))
        })
    }
}

/// An address with a port that others can connect to.
///
/// ```
/// use pollenlever::settings::ini::values::address;
/// assert!(address("10.0.0.1:7000").is_ok());
/// assert!(address("0.0.0.0:7000").is_err());
/// ```
pub fn address(text: &str) -> Result<SocketAddr, Expected> {
    let found =
        text.parse().ok().filter(|it: &SocketAddr| it.port() != 0 && !it.ip().is_unspecified());
    found.ok_or_else(|| "IP:PORT, for example 10.0.0.1:7000, with a port from 1 to 65535".into())
}

/// An address to listen on, which may be a wildcard such as 0.0.0.0.
///
/// ```
/// use pollenlever::settings::ini::values::listen_address;
/// assert!(listen_address("0.0.0.0:7100").is_ok());
/// ```
pub fn listen_address(text: &str) -> Result<SocketAddr, Expected> {
    let found = text.parse().ok().filter(|it: &SocketAddr| it.port() != 0);
    found.ok_or_else(|| "IP:PORT, for example 10.0.0.1:7100, with a port from 1 to 65535".into())
}

/// Items separated by commas.
///
/// ```
/// use pollenlever::settings::ini::values::{list, number};
/// assert_eq!(list(number(1..=9))("1, 2"), Ok(vec![1, 2]));
/// ```
pub fn list<T>(
    item: impl Fn(&str) -> Result<T, Expected>,
) -> impl Fn(&str) -> Result<Vec<T>, Expected> {
    move |text| {
        let items = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let parsed: Result<Vec<T>, Expected> = items.map(&item).collect();
        parsed.map_err(|err| Expected::from(format!("a list separated by commas of {err}")))
    }
}

/// A name of a region or availability zone, in any script.
///
/// ```
/// use pollenlever::settings::ini::values::place_name;
/// assert_eq!(place_name("Norður").as_deref(), Ok("Norður"));
/// assert!(place_name("two words").is_err());
/// ```
pub fn place_name(text: &str) -> Result<String, Expected> {
    let plain = |it: char| it.is_alphanumeric() || matches!(it, '-' | '_' | '.');
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(plain);
    fits.then(|| text.to_owned()).ok_or_else(|| {
        Expected::from(format!("letters, digits, -, _ and . up to {MAX_NAME_BYTES} bytes"))
    })
}

/// One of a few words.
///
/// ```
/// use pollenlever::settings::ini::values::word;
/// assert_eq!(word(&["on", "off"])("on"), Ok("on"));
/// ```
pub fn word(words: &'static [&'static str]) -> impl Fn(&str) -> Result<&'static str, Expected> {
    move |text| {
        let found = words.iter().copied().find(|it| *it == text);
        found.ok_or_else(|| Expected::from(words.join(", ")))
    }
}

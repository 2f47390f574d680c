//! Parsers for single values. Their errors describe the allowed values.

use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use super::Expected;

/// Maximum length of the name of a region, zone, service or kind, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns a parser for a number within `range`.
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

/// Returns a parser for a duration in whole milliseconds within `range`.
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

/// Parses an address that others can connect to: neither the IP address nor the port may be a
/// wildcard.
///
/// ```
/// use pollenlever::settings::ini::values::connect_address;
/// assert!(connect_address("10.0.0.1:7000").is_ok());
/// assert!(connect_address("0.0.0.0:7000").is_err());
/// ```
pub fn connect_address(text: &str) -> Result<SocketAddr, Expected> {
    let found =
        text.parse().ok().filter(|it: &SocketAddr| it.port() != 0 && !it.ip().is_unspecified());
    found.ok_or_else(|| "IP:PORT, for example 10.0.0.1:7000, with a port from 1 to 65535".into())
}

/// Parses an address to listen on; the IP address may be a wildcard such as 0.0.0.0.
///
/// ```
/// use pollenlever::settings::ini::values::listen_address;
/// assert!(listen_address("0.0.0.0:7100").is_ok());
/// ```
pub fn listen_address(text: &str) -> Result<SocketAddr, Expected> {
    let found = text.parse().ok().filter(|it: &SocketAddr| it.port() != 0);
    found.ok_or_else(|| "IP:PORT, for example 10.0.0.1:7100, with a port from 1 to 65535".into())
}

/// Returns a parser for items separated by commas; empty items are skipped.
///
/// ```
/// use pollenlever::settings::ini::values::{comma_separated, number};
/// assert_eq!(comma_separated(number(1..=9))("1, 2"), Ok(vec![1, 2]));
/// ```
pub fn comma_separated<T>(
    item: impl Fn(&str) -> Result<T, Expected>,
) -> impl Fn(&str) -> Result<Vec<T>, Expected> {
    move |text| {
        let items = text.split(',').map(str::trim).filter(|it| !it.is_empty());
        let parsed: Result<Vec<T>, Expected> = items.map(&item).collect();
        parsed.map_err(|err| Expected::from(format!("a list separated by commas of {err}")))
    }
}

/// Parses a name, such as that of a region or zone: letters and digits of any script, `-`, `_` and
/// `.`.
///
/// ```
/// use pollenlever::settings::ini::values::unicode_name;
/// assert_eq!(unicode_name("Norður").as_deref(), Ok("Norður"));
/// assert!(unicode_name("two words").is_err());
/// ```
pub fn unicode_name(text: &str) -> Result<String, Expected> {
    let is_allowed = |it: char| it.is_alphanumeric() || matches!(it, '-' | '_' | '.');
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    is_valid.then(|| text.to_owned()).ok_or_else(|| {
        Expected::from(format!("letters, digits, -, _ and . up to {MAX_NAME_BYTES} bytes"))
    })
}

/// Returns a parser that accepts one of `words`.
///
/// ```
/// use pollenlever::settings::ini::values::one_of;
/// assert_eq!(one_of(&["on", "off"])("on"), Ok("on"));
/// ```
pub fn one_of(words: &'static [&'static str]) -> impl Fn(&str) -> Result<&'static str, Expected> {
    move |text| {
        let found = words.iter().copied().find(|it| *it == text);
        found.ok_or_else(|| Expected::from(words.join(", ")))
    }
}

//! Parsers for values that occur only in manifests.

use std::str::FromStr;
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern};
use pollenlever_core::id::RegionName;

use crate::settings::ini::Expected;
use crate::settings::ini::values::{MAX_NAME_BYTES, comma_separated, unicode_name};

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const MAX_PATH_BYTES: usize = 1024;
const MAX_WINDOW_DAYS: u64 = 90;
const SECONDS_PER_DAY: u64 = 24 * 3600;

/// Parses the name of a service or kind. It is restricted to ASCII because it becomes part of paths
/// and metrics.
pub(super) fn ascii_name(text: &str) -> Result<&str, Expected> {
    let is_allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_".contains(it);
    let is_valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed);
    is_valid.then_some(text).ok_or_else(|| {
        Expected::from(format!("a to z, 0 to 9, - and _ up to {MAX_NAME_BYTES} bytes"))
    })
}

/// Parses a list of at least one region name.
pub(super) fn region_names(text: &str) -> Result<Vec<RegionName>, Expected> {
    let names = comma_separated(unicode_name)(text).ok().filter(|it| !it.is_empty());
    let names = names.ok_or_else(|| Expected::from("region names separated by commas"))?;
    Ok(names.into_iter().map(RegionName::from).collect())
}

pub(super) fn method(text: &str) -> Result<String, Expected> {
    let found = METHODS.contains(&text).then(|| text.to_owned());
    found.ok_or_else(|| Expected::from(METHODS.join(", ")))
}

/// Parses a path pattern. A wildcard must be a whole segment, and `**` must be the last one.
pub(super) fn path(text: &str) -> Result<PathPattern, Expected> {
    let is_allowed = |it: char| it.is_ascii_graphic() && !"?#".contains(it);
    let has_valid_text =
        text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.chars().all(is_allowed);
    let segments: Vec<&str> = text.split('/').collect();
    let (last, before) = segments.split_last().expect("split returns at least one segment");
    let is_valid_segment = |it: &str| it == "*" || !it.contains('*');
    let has_valid_wildcards =
        before.iter().all(|it| is_valid_segment(it)) && (is_valid_segment(last) || *last == "**");
    (has_valid_text && has_valid_wildcards).then(|| PathPattern::from(text)).ok_or_else(|| {
        Expected::from(format!(
            "/ and segments of printable ASCII without ? and #, where * is a whole segment and ** \
             the last, up to {MAX_PATH_BYTES} bytes"
        ))
    })
}

pub(super) fn importance(text: &str) -> Result<Importance, Expected> {
    Importance::from_str(text)
        .map_err(|_| Expected::from(Importance::ALL.map(Importance::as_str).join(", ")))
}

pub(super) fn boolean(text: &str) -> Result<bool, Expected> {
    text.parse().map_err(|_| "true or false".into())
}

/// Parses an objective given in percent and returns it as a ratio. 100 percent is not allowed, since
/// it leaves no error budget.
pub(super) fn objective_ratio(text: &str) -> Result<f64, Expected> {
    let percent = f64::from_str(text).ok().filter(|it| *it > 0.0 && *it < 100.0);
    let ratio =
        percent.map(|it| round_to_nine_decimals(it / 100.0)).filter(|it| *it > 0.0 && *it < 1.0);
    ratio.ok_or_else(|| "a number above 0 and below 100, such as 99.9".into())
}

pub(super) fn ratio(text: &str) -> Result<f64, Expected> {
    let found = f64::from_str(text).ok().filter(|it| (0.0..=1.0).contains(it));
    found.map(round_to_nine_decimals).ok_or_else(|| "a number from 0 to 1, such as 0.1".into())
}

/// Rounds to a precision that the store returns unchanged.
fn round_to_nine_decimals(ratio: f64) -> f64 {
    const SCALE: f64 = 1e9;
    (ratio * SCALE).round() / SCALE
}

/// Parses the length of an objective's window, given in days.
pub(super) fn window_days(text: &str) -> Result<Duration, Expected> {
    let days = text.parse::<u64>().ok().filter(|it| (1..=MAX_WINDOW_DAYS).contains(it));
    days.map(|it| Duration::from_secs(it * SECONDS_PER_DAY))
        .ok_or_else(|| Expected::from(format!("days from 1 to {MAX_WINDOW_DAYS}")))
}

//! Parsers of values that only manifests hold.

use std::str::FromStr;
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern};
use pollenlever_core::id::RegionName;

use crate::settings::ini::Expected;
use crate::settings::ini::values::{MAX_NAME_BYTES, list, place_name};

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
const MAX_PATH_BYTES: usize = 1024;
const MAX_WINDOW_DAYS: u64 = 90;
const SECONDS_A_DAY: u64 = 24 * 3600;

/// Name of a service or kind, which goes into paths and metrics.
pub(super) fn name(text: &str) -> Result<&str, Expected> {
    let plain = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_".contains(it);
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(plain);
    fits.then_some(text).ok_or_else(|| {
        Expected::from(format!("a to z, 0 to 9, - and _ up to {MAX_NAME_BYTES} bytes"))
    })
}

/// Names of regions, at least one.
pub(super) fn regions(text: &str) -> Result<Vec<RegionName>, Expected> {
    let names = list(place_name)(text).ok().filter(|it| !it.is_empty());
    let names = names.ok_or_else(|| Expected::from("names of regions separated by commas"))?;
    Ok(names.into_iter().map(RegionName::from).collect())
}

pub(super) fn method(text: &str) -> Result<String, Expected> {
    let found = METHODS.contains(&text).then(|| text.to_owned());
    found.ok_or_else(|| Expected::from(METHODS.join(", ")))
}

/// A path pattern whose wildcards are whole segments, `**` only at the end.
pub(super) fn path(text: &str) -> Result<PathPattern, Expected> {
    let plain = |it: char| it.is_ascii_graphic() && !"?#".contains(it);
    let fits = text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.chars().all(plain);
    let segments: Vec<&str> = text.split('/').collect();
    let (last, before) = segments.split_last().expect("split gives a segment");
    let whole = |it: &str| it == "*" || !it.contains('*');
    let wildcards = before.iter().all(|it| whole(it)) && (whole(last) || *last == "**");
    (fits && wildcards).then(|| PathPattern::from(text)).ok_or_else(|| {
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

/// A share of requests in percent, as a ratio. All of them would leave no budget to burn.
pub(super) fn good_percent(text: &str) -> Result<f64, Expected> {
    let percent = f64::from_str(text).ok().filter(|it| *it > 0.0 && *it < 100.0);
    let ratio = percent.map(|it| rounded(it / 100.0)).filter(|it| *it > 0.0 && *it < 1.0);
    ratio.ok_or_else(|| "a number above 0 and below 100, such as 99.9".into())
}

pub(super) fn ratio(text: &str) -> Result<f64, Expected> {
    let found = f64::from_str(text).ok().filter(|it| (0.0..=1.0).contains(it));
    found.map(rounded).ok_or_else(|| "a number from 0 to 1, such as 0.1".into())
}

/// Rounds to nine decimals, which the store gives back unchanged.
fn rounded(ratio: f64) -> f64 {
    const SCALE: f64 = 1e9;
    (ratio * SCALE).round() / SCALE
}

pub(super) fn window(text: &str) -> Result<Duration, Expected> {
    let days = text.parse::<u64>().ok().filter(|it| (1..=MAX_WINDOW_DAYS).contains(it));
    days.map(|it| Duration::from_secs(it * SECONDS_A_DAY))
        .ok_or_else(|| Expected::from(format!("days from 1 to {MAX_WINDOW_DAYS}")))
}

use std::time::Duration;

use serde::Serialize;

const MINUTE: u64 = 60;
const HOUR: u64 = 60 * MINUTE;
const DAY: u64 = 24 * HOUR;

/// A time in its two largest units.
///
/// ```
/// use std::time::Duration;
/// use pollenlever::tool::output::duration_text;
/// assert_eq!(duration_text(Duration::from_secs(3 * 3600 + 120)), "3 h 2 min");
/// assert_eq!(duration_text(Duration::from_secs(259_200)), "3 d");
/// ```
pub fn duration_text(time: Duration) -> String {
    let seconds = time.as_secs();
    let (large, small, unit) = match seconds {
        DAY.. => ((seconds / DAY, "d"), (seconds % DAY / HOUR, "h"), "d"),
        HOUR.. => ((seconds / HOUR, "h"), (seconds % HOUR / MINUTE, "min"), "h"),
        MINUTE.. => ((seconds / MINUTE, "min"), (seconds % MINUTE, "s"), "min"),
        _ => ((seconds, "s"), (0, ""), "s"),
    };
    match small {
        (0, _) => format!("{} {unit}", large.0),
        (rest, small_unit) => format!("{} {} {rest} {small_unit}", large.0, large.1),
    }
}

/// A result as indented JSON.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("results have names as keys")
}

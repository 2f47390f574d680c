use std::time::Duration;

use serde::Serialize;

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Formats a duration in its two largest units.
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
        DAY_S.. => ((seconds / DAY_S, "d"), (seconds % DAY_S / HOUR_S, "h"), "d"),
        HOUR_S.. => ((seconds / HOUR_S, "h"), (seconds % HOUR_S / MINUTE_S, "min"), "h"),
        MINUTE_S.. => ((seconds / MINUTE_S, "min"), (seconds % MINUTE_S, "s"), "min"),
        _ => ((seconds, "s"), (0, ""), "s"),
    };
    match small {
        (0, _) => format!("{} {unit}", large.0),
        (rest, small_unit) => format!("{} {} {rest} {small_unit}", large.0, large.1),
    }
}

/// Formats a result as indented JSON.
pub fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).expect("results have names as keys")
}

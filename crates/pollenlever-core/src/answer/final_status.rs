/// Statuses of final answers. HTTP has no others: those below are of interim answers, which a final one
/// follows.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Whether HTTP has final answers with a status. An answer with another one is none.
///
/// ```
/// use pollenlever_core::answer::is_final_status;
/// assert!(is_final_status(200));
/// assert!(!is_final_status(0));
/// assert!(!is_final_status(600));
/// ```
pub fn is_final_status(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

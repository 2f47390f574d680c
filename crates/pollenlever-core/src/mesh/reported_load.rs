use std::str::FromStr;

use thiserror::Error;

/// Load that a target reports in the headers of its responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that the target is running.
    pub running: u32,
    /// Number of requests that wait at the target.
    pub waiting: u32,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// How long work takes on the target's VM at present, in percent of the usual time; `None` if
    /// the target does not report it.
    pub slowdown_percent: Option<u32>,
}

/// Why a load header is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ReportedLoadError {
    /// The header has another number of fields.
    #[error("the load has {0} fields; send running,waiting,slots or running,waiting,slots,percent")]
    FieldCount(usize),
    /// A field is not a whole number.
    #[error("field {0} of the load is not a whole number from 0 to 4294967295")]
    NotANumber(usize),
    /// The header has characters outside of ASCII.
    #[error("the load is not ASCII text")]
    NotText,
}

/// Parses `running,waiting,slots` or `running,waiting,slots,percent`.
///
/// ```
/// use pollenlever_core::mesh::{ReportedLoad, ReportedLoadError};
/// let load: ReportedLoad = "3,1,8,250".parse()?;
/// assert_eq!((load.running, load.slowdown_percent), (3, Some(250)));
/// assert_eq!("3,1,8".parse::<ReportedLoad>()?.slowdown_percent, None);
/// assert_eq!("3,1".parse::<ReportedLoad>(), Err(ReportedLoadError::FieldCount(2)));
/// assert_eq!("3,1,8,fast".parse::<ReportedLoad>(), Err(ReportedLoadError::NotANumber(4)));
/// # Ok::<(), ReportedLoadError>(())
/// ```
impl FromStr for ReportedLoad {
    type Err = ReportedLoadError;

    fn from_str(text: &str) -> Result<ReportedLoad, ReportedLoadError> {
        let fields: Vec<&str> = text.split(',').collect();
        let number = |index: usize| {
            let parsed = fields[index].trim().parse();
            parsed.map_err(|_| ReportedLoadError::NotANumber(index + 1))
        };
        if !(3..=4).contains(&fields.len()) {
            return Err(ReportedLoadError::FieldCount(fields.len()));
        }
        let slowdown_percent = if fields.len() == 4 { Some(number(3)?) } else { None };
        let (running, waiting, slots) = (number(0)?, number(1)?, number(2)?);
        Ok(ReportedLoad { running, waiting, slots, slowdown_percent })
    }
}

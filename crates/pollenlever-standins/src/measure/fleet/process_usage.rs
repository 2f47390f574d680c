use std::fs;
use std::time::Duration;

/// Clock ticks a second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Processor time and resident memory of a process, from `/proc`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    pub(crate) cpu: Duration,
    pub(crate) resident_kb: u64,
}

impl ProcessUsage {
    /// Usage of the process so far; zero if it is gone.
    pub(crate) fn of(pid: u32) -> ProcessUsage {
        ProcessUsage {
            cpu: cpu(pid).unwrap_or_default(),
            resident_kb: resident_kb(pid).unwrap_or(0),
        }
    }
}

fn cpu(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let mut fields = after_name.split_whitespace().skip(11); // user and system time
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_S))
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

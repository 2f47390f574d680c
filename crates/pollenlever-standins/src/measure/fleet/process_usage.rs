use std::fs;
use std::time::Duration;

/// Processor time and resident memory of a process, read from `/proc`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ProcessUsage {
    pub(crate) cpu: Duration,
    pub(crate) resident_kb: u64,
}

impl ProcessUsage {
    /// Usage of a process so far; zero if the process has exited.
    pub(crate) fn of(pid: u32) -> ProcessUsage {
        ProcessUsage {
            cpu: cpu(pid).unwrap_or_default(),
            resident_kb: resident_kb(pid).unwrap_or(0),
        }
    }
}

/// Processor time of all live threads of the process, from the scheduler's statistics.
fn cpu(pid: u32) -> Option<Duration> {
    let mut total = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let schedstat = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        let nanos = schedstat.split_whitespace().next()?.parse().ok()?;
        total += Duration::from_nanos(nanos);
    }
    Some(total)
}

fn resident_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

use std::fs;
use std::time::Duration;

/// Memory that grows by less in [`STEADY_TIME`] is steady, in bytes.
const STEADY_GROWTH_BYTES: u64 = 500_000;
const STEADY_TIME: Duration = Duration::from_secs(1);
/// Waits of [`STEADY_TIME`] after which memory counts as steady in any case.
const MAX_WAITS: usize = 20;

/// What a process takes, as the kernel counts it. Its methods panic if the process has ended.
///
/// ```
/// use pollenlever_standins::crowd::ProcessUsage;
/// let usage = ProcessUsage::of(std::process::id());
/// assert!(usage.peak_memory() > 0);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    pid: u32,
}

impl ProcessUsage {
    /// Of the process with id `pid`.
    pub fn of(pid: u32) -> ProcessUsage {
        ProcessUsage { pid }
    }

    /// Most memory that the process has taken since its start, in bytes.
    pub fn peak_memory(&self) -> u64 {
        self.status_kib("VmHWM:") << 10
    }

    /// Memory that the process takes now, in bytes.
    pub fn memory(&self) -> u64 {
        self.status_kib("VmRSS:") << 10
    }

    /// Waits until the memory of the process no longer grows: what it is sent has arrived.
    pub async fn wait_until_steady(&self) {
        for _ in 0..MAX_WAITS {
            let before = self.memory();
            tokio::time::sleep(STEADY_TIME).await;
            if self.memory() < before + STEADY_GROWTH_BYTES {
                return;
            }
        }
    }

    /// Open descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid)).expect("the process lives").count()
    }

    fn status_kib(&self, key: &str) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid));
        let status = status.expect("the process lives");
        let line = status.lines().find_map(|it| it.strip_prefix(key)).expect("the kernel lists it");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }
}

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::measure::MeasurementError;
use crate::measure::fleet::{Fleet, ProcessUsage, SocketBytes};

/// Time between two polls of the sockets; short, because the bytes of sockets that close in between
/// are missed.
const SOCKET_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Resources that the control plane takes on one node, or on average on the nodes of a fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ControlCost {
    /// Bytes sent to and received from other nodes a second, headers included.
    pub(super) bytes_per_s: f64,
    /// Processor time, in percent of one core.
    pub(super) core_percent: f64,
    /// Resident memory in MB.
    pub(super) resident_mb: f64,
    /// Number of open sockets to other nodes.
    pub(super) sockets: f64,
}

impl ControlCost {
    /// Mean over the nodes of the fleet during `time`; `on_poll` is called before each poll of the
    /// sockets. Processor time is averaged over the nodes that run from start to end.
    pub(super) fn measure(
        fleet: &mut Fleet,
        time: Duration,
        mut on_poll: impl FnMut(&mut Fleet) -> Result<(), MeasurementError>,
    ) -> Result<ControlCost, MeasurementError> {
        let ports = [fleet.peer_port()];
        let mut sockets = SocketBytes::default();
        sockets.update(&ports)?;
        sockets.reset();
        let before = cpu_by_process(fleet);
        let start = Instant::now();
        while start.elapsed() < time {
            on_poll(fleet)?;
            sleep(SOCKET_POLL_INTERVAL);
            sockets.update(&ports)?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        let count = fleet.nodes.len() as f64;
        let mut cpu = Duration::ZERO;
        let mut survivors = 0.0;
        for (pid, after) in cpu_by_process(fleet) {
            if let Some((_, before)) = before.iter().find(|it| it.0 == pid) {
                cpu += after.saturating_sub(*before);
                survivors += 1.0;
            }
        }
        let resident = |pid| ProcessUsage::of(pid).resident_kb as f64 / 1024.0;
        let resident_mb: f64 = fleet.nodes.iter().map(|it| resident(it.process.id())).sum();
        Ok(ControlCost {
            bytes_per_s: sockets.total_bytes() as f64 / elapsed / count,
            core_percent: 100.0 * cpu.as_secs_f64() / elapsed / survivors,
            resident_mb: resident_mb / count,
            sockets: sockets.socket_count() as f64 / count,
        })
    }
}

impl ControlCost {
    /// Cost of one node during `time`. All its connections must be on one of `ports` and have both
    /// ends on this machine.
    pub(super) fn measure_node(
        pid: u32,
        ports: &[u16],
        time: Duration,
    ) -> Result<ControlCost, MeasurementError> {
        let mut sockets = SocketBytes::default();
        sockets.update(ports)?;
        sockets.reset();
        let before = ProcessUsage::of(pid).cpu;
        let start = Instant::now();
        while start.elapsed() < time {
            sleep(SOCKET_POLL_INTERVAL);
            sockets.update(ports)?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        let after = ProcessUsage::of(pid);
        let cpu = after.cpu.saturating_sub(before);
        Ok(ControlCost {
            bytes_per_s: sockets.total_bytes() as f64 / elapsed / 2.0, // `ss` lists both ends
            core_percent: 100.0 * cpu.as_secs_f64() / elapsed,
            resident_mb: after.resident_kb as f64 / 1024.0,
            sockets: sockets.socket_count() as f64 / 2.0,
        })
    }
}

fn cpu_by_process(fleet: &Fleet) -> Vec<(u32, Duration)> {
    let pids = fleet.nodes.iter().map(|it| it.process.id());
    pids.map(|pid| (pid, ProcessUsage::of(pid).cpu)).collect()
}

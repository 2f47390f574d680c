use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::measure::MeasureError;
use crate::measure::fleet::{Fleet, ProcessUsage, SocketBytes};

/// Time between two looks at the sockets, so that few close unseen.
const SOCKET_INTERVAL: Duration = Duration::from_millis(500);

/// Cost of control for one node, as a mean over the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct ControlCost {
    /// Bytes sent and received between nodes a second, headers included.
    pub(super) bytes_per_s: f64,
    /// Share of one core in percent.
    pub(super) core_percent: f64,
    /// Resident memory in MB.
    pub(super) resident_mb: f64,
    /// Open sockets between nodes.
    pub(super) sockets: f64,
}

impl ControlCost {
    /// Watches the fleet for `time` while `act` runs at each look at the sockets.
    pub(super) fn measure(
        fleet: &mut Fleet,
        time: Duration,
        mut act: impl FnMut(&mut Fleet) -> Result<(), MeasureError>,
    ) -> Result<ControlCost, MeasureError> {
        let ports = [fleet.peer_port()];
        let mut sockets = SocketBytes::default();
        sockets.update(&ports)?;
        sockets.reset();
        let before = cpu_by_process(fleet);
        let start = Instant::now();
        while start.elapsed() < time {
            act(fleet)?;
            sleep(SOCKET_INTERVAL);
            sockets.update(&ports)?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        let count = fleet.nodes.len() as f64;
        let mut cpu = Duration::ZERO;
        let mut stayed = 0.0;
        for (pid, after) in cpu_by_process(fleet) {
            if let Some((_, before)) = before.iter().find(|it| it.0 == pid) {
                cpu += after.saturating_sub(*before);
                stayed += 1.0;
            }
        }
        let resident = |pid| ProcessUsage::of(pid).resident_kb as f64 / 1024.0;
        let resident_mb: f64 = fleet.nodes.iter().map(|it| resident(it.program.id())).sum();
        Ok(ControlCost {
            bytes_per_s: sockets.total() as f64 / elapsed / count,
            core_percent: 100.0 * cpu.as_secs_f64() / elapsed / stayed,
            resident_mb: resident_mb / count,
            sockets: sockets.sockets() as f64 / count,
        })
    }
}

impl ControlCost {
    /// Watches one node, all of whose connections are on one of `ports`.
    pub(super) fn of_node(
        pid: u32,
        ports: &[u16],
        time: Duration,
    ) -> Result<ControlCost, MeasureError> {
        let mut sockets = SocketBytes::default();
        sockets.update(ports)?;
        sockets.reset();
        let before = ProcessUsage::of(pid).cpu;
        let start = Instant::now();
        while start.elapsed() < time {
            sleep(SOCKET_INTERVAL);
            sockets.update(ports)?;
        }
        let elapsed = start.elapsed().as_secs_f64();
        let after = ProcessUsage::of(pid);
        let cpu = after.cpu.saturating_sub(before);
        Ok(ControlCost {
            bytes_per_s: sockets.total() as f64 / elapsed / 2.0, // both ends are here
            core_percent: 100.0 * cpu.as_secs_f64() / elapsed,
            resident_mb: after.resident_kb as f64 / 1024.0,
            sockets: sockets.sockets() as f64 / 2.0,
        })
    }
}

fn cpu_by_process(fleet: &Fleet) -> Vec<(u32, Duration)> {
    let pids = fleet.nodes.iter().map(|it| it.program.id());
    pids.map(|pid| (pid, ProcessUsage::of(pid).cpu)).collect()
}

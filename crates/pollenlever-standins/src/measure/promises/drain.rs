use std::time::Duration;

use crate::cluster::{Cluster, ClusterError, Machine};
use crate::target::RunLog;

/// Longest wait for the exit of a target, and then of its node, after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);

/// Drains a machine: sends SIGTERM to its target and then to its node, and waits for each to exit.
///
/// Returns the number of runs that the target started and did not end.
pub(super) fn drain(cluster: &mut Cluster, index: usize) -> Result<usize, ClusterError> {
    cluster.machines[index].target_process.send_sigterm()?;
    wait_for_exit(cluster, "exit of the drained target", index, |it| {
        it.target_process.is_running()
    })?;
    cluster.machines[index].node_process.send_sigterm()?;
    wait_for_exit(cluster, "exit of the drained node", index, |it| it.node_process.is_running())?;
    let records = RunLog::read(&cluster.machines[index].run_log)
        .map_err(|err| ClusterError::Process { what: "read a run log".to_owned(), source: err })?;
    let count = |phase: &str| records.iter().filter(|it| it.phase == phase).count();
    Ok(count("start").saturating_sub(count("end")))
}

fn wait_for_exit(
    cluster: &mut Cluster,
    what: &str,
    index: usize,
    is_running: impl Fn(&mut Machine) -> bool,
) -> Result<(), ClusterError> {
    let start = std::time::Instant::now();
    while is_running(&mut cluster.machines[index]) {
        if start.elapsed() > EXIT_TIMEOUT {
            let logs = cluster.folder().to_owned();
            return Err(ClusterError::Timeout {
                what: what.to_owned(),
                within: EXIT_TIMEOUT,
                logs,
            });
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

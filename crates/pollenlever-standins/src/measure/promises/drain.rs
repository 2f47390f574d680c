use std::time::Duration;

use crate::cluster::{Cluster, ClusterError, Machine};
use crate::target::RunLog;

/// Longest wait for a target and its node to end after SIGTERM.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(12);

/// Asks a machine's target and then its node to leave. Returns the runs that did not end.
pub(super) fn drain(cluster: &mut Cluster, index: usize) -> Result<usize, ClusterError> {
    cluster.machines[index].target_program.terminate()?;
    wait_for_end(cluster, "end of a leaving target", index, |it| it.target_program.is_running())?;
    cluster.machines[index].node.terminate()?;
    wait_for_end(cluster, "end of a leaving node", index, |it| it.node.is_running())?;
    let records = RunLog::read(&cluster.machines[index].run_log)
        .map_err(|err| ClusterError::Process { what: "read a run log".to_owned(), source: err })?;
    let count = |phase: &str| records.iter().filter(|it| it.phase == phase).count();
    Ok(count("start").saturating_sub(count("end")))
}

fn wait_for_end(
    cluster: &mut Cluster,
    what: &str,
    index: usize,
    is_running: impl Fn(&mut Machine) -> bool,
) -> Result<(), ClusterError> {
    let start = std::time::Instant::now();
    while is_running(&mut cluster.machines[index]) {
        if start.elapsed() > LEAVE_TIMEOUT {
            let logs = cluster.folder().to_owned();
            return Err(ClusterError::Timeout {
                what: what.to_owned(),
                within: LEAVE_TIMEOUT,
                logs,
            });
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

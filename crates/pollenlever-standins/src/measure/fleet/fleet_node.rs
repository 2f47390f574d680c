use std::net::SocketAddr;
use std::path::Path;

use pollenlever::control::ControlStatus;
use pollenlever::settings::Settings;

use crate::cluster::Program;
use crate::measure::MeasurementError;

/// A node process without a target.
#[derive(Debug)]
pub(crate) struct FleetNode {
    /// Address at which the node serves callers and its status.
    pub(crate) entry: SocketAddr,
    pub(crate) process: Program,
}

impl FleetNode {
    /// Starts a node with these settings, which are written to `name.ini` in `folder`; its log is
    /// `name.log`.
    pub(crate) fn start(
        cfg: &Settings,
        name: &str,
        folder: &Path,
    ) -> Result<FleetNode, MeasurementError> {
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, cfg.to_ini())?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        let process = Program::start("pollenleverd", &args, &folder.join(format!("{name}.log")))?;
        Ok(FleetNode { entry: cfg.entry, process })
    }

    /// Status of the node; `None` if it does not answer with a valid status.
    pub(crate) fn status(&self, http: &reqwest::blocking::Client) -> Option<ControlStatus> {
        let url = format!("http://{}/pollenlever/v1/status", self.entry);
        http.get(url).send().ok()?.json().ok()
    }
}

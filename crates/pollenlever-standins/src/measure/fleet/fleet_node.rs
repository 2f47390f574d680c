use std::net::SocketAddr;
use std::path::Path;

use pollenlever::control::ControlStatus;
use pollenlever::settings::Settings;

use crate::cluster::Program;
use crate::measure::MeasureError;

/// A node process without a target.
#[derive(Debug)]
pub(crate) struct FleetNode {
    pub(crate) entry: SocketAddr,
    pub(crate) program: Program,
}

impl FleetNode {
    /// Starts a node with these settings; `name` names its files in `folder`.
    pub(crate) fn start(
        cfg: &Settings,
        name: &str,
        folder: &Path,
    ) -> Result<FleetNode, MeasureError> {
        let file = folder.join(format!("{name}.ini"));
        std::fs::write(&file, cfg.to_ini())?;
        let args = ["--settings".to_owned(), file.display().to_string()];
        let program = Program::start("pollenleverd", &args, &folder.join(format!("{name}.log")))?;
        Ok(FleetNode { entry: cfg.entry, program })
    }

    /// What the node knows; `None` while it does not answer.
    pub(crate) fn status(&self, http: &reqwest::blocking::Client) -> Option<ControlStatus> {
        let url = format!("http://{}/pollenlever/v1/status", self.entry);
        http.get(url).send().ok()?.json().ok()
    }
}

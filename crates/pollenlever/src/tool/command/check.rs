use std::path::PathBuf;

use serde::Serialize;

use super::Command;
use crate::manifest::Manifest;
use crate::tool::ToolError;
use crate::tool::output::{BoxReport, Report, to_json};

/// The command `pollenlever check`, which validates a manifest without sending anything.
pub(super) struct Check {
    pub(super) file: PathBuf,
}

#[derive(Serialize)]
struct CheckReport {
    file: String,
    regions: usize,
    services: usize,
    kinds: usize,
}

impl Command for Check {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let manifest = Manifest::load(&self.file)?;
        Ok(Box::new(CheckReport {
            file: self.file.display().to_string(),
            regions: manifest.regions.len(),
            services: manifest.services.len(),
            kinds: manifest.services.iter().map(|it| it.kinds.len()).sum(),
        }))
    }
}

impl Report for CheckReport {
    fn table(&self) -> String {
        let CheckReport { file, regions, services, kinds } = self;
        format!("{file} is valid: {services} services, {kinds} kinds, {regions} regions")
    }

    fn json(&self) -> String {
        to_json(self)
    }
}

use std::path::Path;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::RegionName;

use super::{ManifestError, parse};
use crate::settings::ini::Document;

/// What operators declare for a deployment: regions, services and their kinds of request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Manifest {
    /// Regions in which services may have targets.
    pub regions: Vec<RegionName>,
    /// Services in file order. Their version is 0, since only the store assigns versions.
    pub services: Vec<ServiceConfig>,
}

impl Manifest {
    /// Reads, parses and validates a manifest file.
    ///
    /// # Errors
    ///
    /// [`ManifestError::Read`] if the file cannot be read, [`ManifestError::Invalid`] with all its
    /// faults if it is invalid.
    pub fn load(path: &Path) -> Result<Manifest, ManifestError> {
        let bytes = std::fs::read(path)
            .map_err(|source| ManifestError::Read { path: path.to_owned(), source })?;
        let file = path.display().to_string();
        let text = Document::decode(&file, &bytes).map_err(ManifestError::Invalid)?;
        Manifest::parse(&file, text)
    }

    /// Parses and validates the text of a manifest; `file` is the name that errors show.
    ///
    /// ```
    /// use pollenlever::manifest::Manifest;
    /// let text = "
    /// [manifest]
    /// regions = lombardia, veneto, emilia
    /// [service balance]
    /// slots = 36
    /// [kind balance/check]
    /// method = GET
    /// path = /students/*/balance
    /// importance = high
    /// idempotent = true
    /// ";
    /// let manifest = Manifest::parse("release.ini", text).unwrap();
    /// assert_eq!(manifest.services[0].regions.len(), 3);
    /// assert!(Manifest::parse("release.ini", "[service balance]").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// [`ManifestError::Invalid`] with all faults.
    pub fn parse(file: &str, text: &str) -> Result<Manifest, ManifestError> {
        parse::parse(file, text).map_err(ManifestError::Invalid)
    }
}

//! `vaneway check`: reads a settings file and reports every finding.

use std::path::Path;

use crate::core::settings;

/// Checks the settings file at `path` and returns one line that sums it up.
///
/// # Errors
///
/// If the file can't be read, or with every finding in it.
pub fn check(path: &Path) -> eyre::Result<String> {
    let settings = settings::read_file(path)?;
    Ok(format!(
        "{}: ok ({} services, {} replicas, {} organisations, {} other entry boxes)",
        path.display(),
        settings.services.len(),
        settings.replicas.len(),
        settings.organisations.len(),
        settings.peers.len()
    ))
}

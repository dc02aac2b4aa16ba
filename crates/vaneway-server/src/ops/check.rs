//! `vaneway check`: validates a settings file and reports every finding.

use std::path::Path;

use crate::core::settings;
use crate::core::settings::ProcessSettings;

/// Validates the settings file at `path` and returns a one-line summary of it.
///
/// # Errors
///
/// If the file can't be read or has findings; the error lists all of them.
pub fn check(path: &Path) -> eyre::Result<String> {
    let settings = match settings::read_process_file(path)? {
        ProcessSettings::Entry(settings) => settings,
        ProcessSettings::Control(settings) => {
            let seeds = settings.seeds.len();
            return Ok(format!("{}: ok (control box, {seeds} seeds)", path.display()));
        }
    };
    Ok(format!(
        "{}: ok ({} services, {} replicas, {} organisations, {} other entry boxes)",
        path.display(),
        settings.services.len(),
        settings.replicas.len(),
        settings.organisations.len(),
        settings.peers.len()
    ))
}

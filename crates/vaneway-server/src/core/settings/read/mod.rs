//! Reads and validates a settings file.
//!
//! - [`entry`]: the settings of an entry box, [`service`] its services;
//! - [`control`]: the settings of a control box;
//! - [`values`]: values that several sections have;
//! - [`check`]: checks that involve more than one field.

mod check;
mod control;
mod entry;
mod leaving_zone;
mod service;
mod values;

use std::fmt;
use std::path::Path;

use eyre::WrapErr as _;
use serde_json::Value;

use crate::core::settings::ProcessSettings;
use crate::core::settings::Settings;
use crate::util::findings::Fields;
use crate::util::findings::Finding;
use crate::util::findings::Findings;
use crate::util::findings::JsonNode;

/// All findings of one settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The findings, in the order in which they were detected.
    pub findings: Vec<Finding>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.findings.len();
        write!(f, "{count} finding{} in the settings", if count == 1 { "" } else { "s" })?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads and validates the text of an entry box's settings file.
///
/// # Errors
///
/// [`SettingsError`] lists every finding.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    read_root(text, |fields, findings| {
        let settings = entry::read(fields);
        check::check_names(&settings, findings);
        check::check_deadlines(&settings, findings);
        settings
    })
}

/// Reads and validates the settings file at `path`, for either role.
///
/// # Errors
///
/// If the file can't be read or has findings; the error lists all of them.
pub fn read_process_file(path: &Path) -> eyre::Result<ProcessSettings> {
    let context = || format!("failed to read settings `{}`", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    read_process(&text).wrap_err_with(context)
}

/// Reads and validates the text of a settings file for the role in its field `role`. Without that
/// field, the settings are those of an entry box.
///
/// # Errors
///
/// [`SettingsError`] lists every finding.
pub fn read_process(text: &str) -> Result<ProcessSettings, SettingsError> {
    let role = read_root(text, |mut fields, _| {
        let role = fields.optional("role");
        role.and_then(|node| node.parse("`entry` or `control`", Role::from_name))
    })?;
    match role {
        Some(Role::Control) => {
            let settings = read_root(text, |fields, _| control::read(fields))?;
            Ok(ProcessSettings::Control(Box::new(settings)))
        }
        Some(Role::Entry) | None => read(text).map(Box::new).map(ProcessSettings::Entry),
    }
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Entry,
    Control,
}

impl Role {
    fn from_name(name: &str) -> Option<Self> {
        match name {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            _ => None,
        }
    }
}

/// Parses `text` as a JSON object and reads it with `read`. Fails with all findings if there are
/// any.
fn read_root<T>(
    text: &str,
    read: impl FnOnce(Fields<'_>, &Findings) -> T,
) -> Result<T, SettingsError> {
    let value: Value = serde_json::from_str(text).map_err(|error| SettingsError {
        findings: vec![Finding { path: "$".to_owned(), message: error.to_string() }],
    })?;
    let findings = Findings::new();
    let read = JsonNode::root(&value, &findings).object().map(|fields| read(fields, &findings));
    match (read, findings.take()) {
        (Some(read), findings) if findings.is_empty() => Ok(read),
        (_, findings) => Err(SettingsError { findings }),
    }
}

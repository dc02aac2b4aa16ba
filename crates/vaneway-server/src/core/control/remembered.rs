//! What a control box remembers over a loss of power: the endpoints, and how many entry boxes there were.
//!
//! Why: after all boxes went down together, endpoints become known again only with their next
//! heartbeats, over a second or more in which every request is refused though the endpoints are
//! well. So each control box keeps a file of the endpoints that were ready, and tells it to entry
//! boxes that start together with it. A request names the instance that it is meant for, so one
//! that went to an address that another endpoint has now is not run.
//!
//! What is remembered may be out of date: an endpoint may have said that it drains, and everyone
//! who heard it may be down. It therefore counts only until heartbeats must have come again
//! (the setting `remembered_ms`), and nothing waits for the file to be written.
//!
//! Each entry box's part of the retries goes by how many there may be, also while most of them still have to
//! connect: the first ones must not take the others' parts.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use vaneway_registry::Lifecycle;
use vaneway_registry::Report;

use crate::core::control::entry_updates;
use crate::core::control::state::Control;
use crate::util::clock;
use crate::util::durable_file;
use crate::util::logline::Line;

/// The file's name under the data folder.
const FILE_NAME: &str = "endpoints.log";

/// Time between two looks whether the file must be written anew.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write that failed.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// Age from which on the file says nothing of the present. It is measured by the box's time of
/// day, which may be wrong by seconds.
const MAX_FILE_AGE: Duration = Duration::from_mins(1);

/// The file's only record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Record {
    /// When it was written, since 1970.
    written: Duration,
    /// The endpoints that were ready.
    endpoints: Vec<Report>,
    /// Entry boxes that there were.
    entries: u32,
}

/// What the file says.
#[derive(Debug, Clone, Default)]
pub(super) struct Remembered {
    /// The endpoints that were ready.
    pub(super) endpoints: Vec<Report>,
    /// Entry boxes that there were.
    pub(super) entries: u32,
}

/// What the file says; nothing if there is none, or it is damaged or old, which is logged.
pub(super) fn load(control: &Control) -> Remembered {
    match read(control) {
        Ok(remembered) => remembered,
        Err(why) => {
            Line::new("endpoints_not_remembered").with("why", why).info();
            Remembered::default()
        }
    }
}

fn path(control: &Control) -> PathBuf {
    control.settings.data_folder.join(FILE_NAME)
}

fn read(control: &Control) -> Result<Remembered, String> {
    let bytes = durable_file::read(&path(control));
    let bytes = bytes.map_err(|error| format!("the file can't be read: {error}"))?;
    let Some(bytes) = bytes else { return Ok(Remembered::default()) };
    let recovered = vaneway_log::recover(&bytes).map_err(|error| error.to_string())?;
    let record = recovered.records.first().ok_or("the file has no whole record")?;
    let record: Record = postcard::from_bytes(record).map_err(|error| error.to_string())?;
    let age = clock::since_epoch().abs_diff(record.written);
    if age > MAX_FILE_AGE {
        return Err(format!("the file was written {} s ago", age.as_secs()));
    }
    Ok(Remembered { endpoints: record.endpoints, entries: record.entries })
}

/// How long remembered endpoints still count; none if they do no more.
pub(super) fn remaining(control: &Control) -> Option<Duration> {
    let remaining =
        control.settings.restored_retention.checked_sub(clock::elapsed(control.started));
    remaining.filter(|remaining| !remaining.is_zero())
}

/// Writes the endpoints that are ready whenever they have changed, until dropped.
pub(super) async fn write_changes(control: Rc<Control>) {
    let mut written = None;
    loop {
        control.timers.sleep(CHECK_INTERVAL).await;
        if remaining(&control).is_some() {
            // What was there before is worth more than what has been heard of until now.
            continue;
        }
        let endpoints = ready_endpoints(&control);
        let entries = entry_updates::sharers(&control).known;
        let is_current = |(known, known_entries, at): &(Vec<Report>, u32, Instant)| {
            *known == endpoints
                && *known_entries >= entries
                && clock::elapsed(*at) < MAX_FILE_AGE / 2
        };
        if written.as_ref().is_some_and(is_current) {
            continue;
        }
        match write(&control, endpoints.clone(), entries).await {
            Ok(()) => {
                Line::new("endpoints_written")
                    .with("count", endpoints.len())
                    .with("entries", entries)
                    .info();
                written = Some((endpoints, entries, clock::now()));
            }
            Err(error) => {
                Line::new("endpoints_not_written").with("error", error).warn();
                control.timers.sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The endpoints that are ready, without what changes with every heartbeat.
fn ready_endpoints(control: &Control) -> Vec<Report> {
    let mut endpoints = control.registry.borrow().reports(clock::now());
    endpoints.retain(|report| report.lifecycle == Lifecycle::Ready && report.details.is_some());
    for report in &mut endpoints {
        report.age_ms = 0;
        report.sequence = 0;
    }
    endpoints
}

async fn write(control: &Control, endpoints: Vec<Report>, entries: u32) -> io::Result<()> {
    let record = Record { written: clock::since_epoch(), endpoints, entries };
    let payload = postcard::to_stdvec(&record).map_err(io::Error::other)?;
    durable_file::replace(&path(control), vaneway_log::encode_record(&payload)).await?;
    Ok(())
}

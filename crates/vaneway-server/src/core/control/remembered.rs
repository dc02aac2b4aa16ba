//! The endpoints, and the number of entry boxes, that a control box remembers across a power loss.
//!
//! After all boxes went down together, endpoints only become known again with their next
//! heartbeats, in a second or more in which every request would be refused although the endpoints
//! are running. So each control box keeps a file of the endpoints that were ready, and sends them
//! to entry boxes that start at the same time. A request names the instance that it is meant for,
//! so it is not run by another endpoint that now has the same address.
//!
//! The remembered endpoints may be out of date: an endpoint may have announced that it drains, and
//! all boxes that received this may be down. They are therefore valid only until heartbeats must
//! have arrived again (the setting `remembered_ms`), and nothing waits until the file is written.
//!
//! Each entry box's share of the retry budget depends on how many entry boxes may be running, also
//! while most of them have yet to connect: the first ones must not take the others' shares.

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

/// Name of the file in the data folder.
const FILE_NAME: &str = "endpoints.log";

/// Interval between two checks whether the file must be rewritten.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before another attempt after a write has failed.
const RETRY_DELAY: Duration = Duration::from_secs(3);

/// Age from which the file is ignored. It is measured by the box's time of day, which may be wrong
/// by seconds.
const MAX_FILE_AGE: Duration = Duration::from_mins(1);

/// The only record of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Record {
    /// When it was written, since 1970.
    written: Duration,
    /// The endpoints that were ready.
    endpoints: Vec<Report>,
    /// Number of entry boxes that may have been running.
    entries: u32,
}

/// Content of the file.
#[derive(Debug, Clone, Default)]
pub(super) struct Remembered {
    /// The endpoints that were ready.
    pub(super) endpoints: Vec<Report>,
    /// Number of entry boxes that may have been running.
    pub(super) entries: u32,
}

/// Reads the file; the result is empty if there is none, or if it is damaged or old, which is
/// logged.
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
    let bytes = bytes.map_err(|error| format!("failed to read the file: {error}"))?;
    let Some(bytes) = bytes else { return Ok(Remembered::default()) };
    let recovered = vaneway_log::recover(&bytes).map_err(|error| error.to_string())?;
    let record = recovered.records.first().ok_or("the file has no complete record")?;
    let record: Record = postcard::from_bytes(record).map_err(|error| error.to_string())?;
    let age = clock::since_epoch().abs_diff(record.written);
    if age > MAX_FILE_AGE {
        return Err(format!("the file is too old: it was written {} s ago", age.as_secs()));
    }
    Ok(Remembered { endpoints: record.endpoints, entries: record.entries })
}

/// How long the remembered endpoints are still valid; none if they are no longer.
pub(super) fn remaining(control: &Control) -> Option<Duration> {
    let remaining =
        control.settings.restored_retention.checked_sub(clock::elapsed(control.started));
    remaining.filter(|remaining| !remaining.is_zero())
}

/// Writes the ready endpoints whenever they have changed, until dropped.
pub(super) async fn write_changes(control: Rc<Control>) {
    let mut written = None;
    loop {
        control.timers.sleep(CHECK_INTERVAL).await;
        if remaining(&control).is_some() {
            // The remembered endpoints are more complete than those that have reported so far.
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

/// The ready endpoints, without the fields that change with every heartbeat.
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

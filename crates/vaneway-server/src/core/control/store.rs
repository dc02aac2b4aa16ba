//! The file with the node's identity and persistent Raft state.
//!
//! Data flow: records are queued; one task appends all queued records in one write, syncs once, and
//! reports the number of the last one. A write or sync that fails is retried from the end of the
//! last valid record until it succeeds; until then the node promises nothing new, and the other
//! members continue without it. The folder is synced before the first record counts. A snapshot is
//! written, together with all state that is still needed, to another file that replaces the first
//! one.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::AsyncWriteAtExt as _;
use eyre::WrapErr as _;
use futures_channel::mpsc;
use futures_util::StreamExt as _;
use serde::Deserialize;
use serde::Serialize;
use vaneway_agreement::DurableState;
use vaneway_agreement::Entry;
use vaneway_agreement::Index;
use vaneway_agreement::Members;
use vaneway_agreement::NodeId;
use vaneway_agreement::Persist;
use vaneway_agreement::Snapshot;
use vaneway_agreement::Term;

use crate::util::durable_file;
use crate::util::logline::Line;
use crate::util::timers::Timers;

/// Name of the file in the data folder.
const FILE_NAME: &str = "agreement.log";

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A record of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Record {
    /// The first record: identity of this node.
    Identity { node: NodeId, first_members: Members },
    /// A write requested by the node, in order.
    Persist { term: Term, vote: Option<NodeId>, snapshot: Option<Snapshot>, entries: Vec<Entry> },
    /// Entries up to this index are committed. It only determines how soon a box that starts can
    /// send entry boxes a configuration.
    Committed { index: Index },
}

/// Content of a data folder.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The node id.
    pub node: NodeId,
    /// The persistent Raft state.
    pub durable: DurableState,
    /// Index up to which entries are known to be committed.
    pub committed: Index,
}

/// A queued write.
#[derive(Debug)]
pub enum Write {
    /// A write requested by the node.
    Persist(Persist),
    /// Entries up to this index are committed.
    Committed(Index),
}

/// The open file.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: compio::fs::File,
    end: u64,
    /// Content of the file, from which it can be rewritten.
    stored: Stored,
}

impl Write {
    /// Size of its commands and snapshot in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Persist(persist) => {
                let snapshot = persist.snapshot.as_ref().map_or(0, |snapshot| snapshot.data.len());
                snapshot + command_bytes(&persist.entries)
            }
            Self::Committed(_) => 0,
        }
    }
}

/// Size of the commands in `entries` in bytes.
pub fn command_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.command_bytes()).sum()
}

/// Queue of writes for the store's task.
pub type Queue = mpsc::UnboundedReceiver<Write>;

/// Opens the file under `folder`. If there is none, creates it for the node that `identity`
/// returns.
///
/// # Errors
///
/// The file cannot be read, written or synced, or a record in it is corrupt.
pub async fn open(
    folder: &Path,
    identity: impl FnOnce() -> (NodeId, Members),
) -> eyre::Result<(Stored, Store)> {
    let path = folder.join(FILE_NAME);
    let context = || format!("failed to open the Raft log file `{}`", path.display());
    std::fs::create_dir_all(folder).wrap_err_with(context)?;
    let bytes = durable_file::read(&path).wrap_err_with(context)?.unwrap_or_default();
    let recovered = vaneway_log::recover(&bytes).wrap_err_with(context)?;
    if recovered.torn_bytes > 0 {
        Line::new("log_tail_cut")
            .with("file", path.display())
            .with("bytes", recovered.torn_bytes)
            .warn();
    }
    let stored = replay(&recovered.records).wrap_err_with(context)?;
    let mut end = recovered.valid_bytes as u64;
    let file = OpenOptions::new().create(true).write(true).truncate(false).open(&path);
    let file = file.wrap_err_with(context)?;
    file.set_len(end).wrap_err_with(context)?;
    let stored = if let Some(stored) = stored {
        stored
    } else {
        let (node, first_members) = identity();
        let record = Record::Identity { node, first_members: first_members.clone() };
        end = write_first(&file, folder, &record).wrap_err_with(context)?;
        Stored { node, durable: DurableState::empty(first_members), committed: 0 }
    };
    drop(file);
    let file = compio::fs::OpenOptions::new().write(true).open(&path).await;
    let file = file.wrap_err_with(context)?;
    Ok((stored.clone(), Store { path, file, end, stored }))
}

fn replay(records: &[&[u8]]) -> eyre::Result<Option<Stored>> {
    let mut stored: Option<Stored> = None;
    for record in records {
        match (postcard::from_bytes(record).wrap_err("failed to decode a record")?, &mut stored) {
            (Record::Identity { node, first_members }, None) => {
                let durable = DurableState::empty(first_members);
                stored = Some(Stored { node, durable, committed: 0 });
            }
            (Record::Persist { term, vote, snapshot, entries }, Some(stored)) => {
                stored.durable.apply(&Persist { number: 0, term, vote, snapshot, entries });
            }
            (Record::Committed { index }, Some(stored)) => {
                stored.committed = stored.committed.max(index);
            }
            (Record::Identity { .. }, Some(_)) => {
                eyre::bail!("the file contains two identity records")
            }
            (Record::Persist { .. } | Record::Committed { .. }, None) => {
                eyre::bail!("the file does not begin with an identity record")
            }
        }
    }
    Ok(stored)
}

fn encode(record: &Record) -> Vec<u8> {
    vaneway_log::encode_record(&postcard::to_stdvec(record).expect("records can be encoded"))
}

/// Writes the first record and makes it and the file's name durable.
fn write_first(file: &File, folder: &Path, record: &Record) -> io::Result<u64> {
    use std::os::unix::fs::FileExt as _;
    let framed = encode(record);
    file.write_all_at(&framed, 0)?;
    file.sync_all()?;
    durable_file::sync_folder(folder)?;
    Ok(framed.len() as u64)
}

impl Store {
    /// Writes queued records until the queue is closed. Calls `durable` with the number of the last
    /// record of each batch, and `written` with the batch's size in bytes of commands and
    /// snapshots.
    pub async fn write_forever(
        mut self,
        timers: Timers,
        mut queue: Queue,
        durable: impl Fn(u64),
        written: impl Fn(usize),
    ) {
        while let Some(first) = queue.next().await {
            let mut batch = Vec::new();
            let mut bytes = 0;
            let mut last = None;
            let mut rewrite = false;
            let mut next = Some(first);
            while let Some(write) = next {
                bytes += write.bytes();
                match &write {
                    Write::Persist(persist) => {
                        last = Some(persist.number);
                        rewrite |= persist.snapshot.is_some();
                        self.stored.durable.apply(persist);
                    }
                    Write::Committed(index) => self.stored.committed = *index,
                }
                batch.extend(encode(&record(write)));
                next = queue.try_recv().ok();
            }
            self.write(&timers, batch, rewrite).await;
            written(bytes);
            if let Some(number) = last {
                durable(number);
            }
        }
    }

    /// Appends a batch, or with `rewrite` replaces the file by one with the complete content;
    /// retries until it succeeds.
    async fn write(&mut self, timers: &Timers, batch: Vec<u8>, rewrite: bool) {
        let mut batch = batch;
        let mut failed = false;
        loop {
            let written =
                if rewrite { self.try_rewrite().await } else { self.try_append(&mut batch).await };
            match written {
                Ok(()) => break,
                Err(error) if failed => log::debug!("event=disk_lost error={error:?}"),
                Err(error) => self.log_write_error(&error),
            }
            failed = true;
            timers.sleep(RETRY_DELAY).await;
        }
        if failed {
            Line::new("disk_regained").with("file", self.path.display()).info();
        }
    }

    /// Appends and syncs; `batch` is left unchanged.
    async fn try_append(&mut self, batch: &mut Vec<u8>) -> io::Result<()> {
        let bytes = std::mem::take(batch);
        let BufResult(written, bytes) = self.file.write_all_at(bytes, self.end).await;
        *batch = bytes;
        written?;
        self.file.sync_data().await?;
        self.end += batch.len() as u64;
        Ok(())
    }

    async fn try_rewrite(&mut self) -> io::Result<()> {
        let DurableState { term, vote, snapshot, entries, first_members } =
            self.stored.durable.clone();
        let node = self.stored.node;
        let mut bytes = encode(&Record::Identity { node, first_members });
        bytes.extend(encode(&Record::Persist { term, vote, snapshot, entries }));
        bytes.extend(encode(&Record::Committed { index: self.stored.committed }));
        let end = bytes.len() as u64;
        self.file = durable_file::replace(&self.path, bytes).await?;
        self.end = end;
        Ok(())
    }

    fn log_write_error(&self, error: &io::Error) {
        Line::new("disk_lost").with("file", self.path.display()).with("error", error).error();
    }
}

fn record(write: Write) -> Record {
    match write {
        Write::Persist(Persist { term, vote, snapshot, entries, .. }) => {
            Record::Persist { term, vote, snapshot, entries }
        }
        Write::Committed(index) => Record::Committed { index },
    }
}

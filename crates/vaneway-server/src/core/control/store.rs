//! The agreement's file: who this node is, and everything that it must not forget.
//!
//! Data flow: records are queued; one task appends all that are queued in one write, syncs once,
//! and reports the number of the last. A write or sync that fails is tried again, from the end of
//! the last good record, until it succeeds: until then the node promises nothing new, and the
//! others go on without it. The file's name is synced before the first record counts. A snapshot
//! is written with all that counts into another file, which takes the place of the first.

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

/// The file's name under the data folder.
const FILE_NAME: &str = "agreement.log";

/// Pause before a write that failed is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A record of the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Record {
    /// The first record: who this node is.
    Identity { node: NodeId, first_members: Members },
    /// What the node wants to be durable, in order.
    Persist { term: Term, vote: Option<NodeId>, snapshot: Option<Snapshot>, entries: Vec<Entry> },
    /// Entries up to this one were committed. Nothing depends on it but how soon a box that starts
    /// can tell entry boxes a configuration.
    Committed { index: Index },
}

/// What a folder holds of a node.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The node.
    pub node: NodeId,
    /// What it must not forget.
    pub durable: DurableState,
    /// Position up to which entries were surely committed.
    pub committed: Index,
}

/// What is to be written.
#[derive(Debug)]
pub enum Write {
    /// What the node wants to be durable.
    Persist(Persist),
    /// Entries up to this one are committed.
    Committed(Index),
}

/// The open file.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: compio::fs::File,
    end: u64,
    /// What the file says, for when it is written anew.
    stored: Stored,
}

impl Write {
    /// Bytes of the commands and the snapshot in it.
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

/// Bytes of the commands in entries.
pub fn command_bytes(entries: &[Entry]) -> usize {
    entries.iter().map(|entry| entry.payload.command_bytes()).sum()
}

/// What reaches a store's task.
pub type Queue = mpsc::UnboundedReceiver<Write>;

/// Opens the file under `folder`. A folder without one becomes that of the node that `identity`
/// gives.
///
/// # Errors
///
/// If the file can't be read, written or synced, or a record in it is damaged.
pub async fn open(
    folder: &Path,
    identity: impl FnOnce() -> (NodeId, Members),
) -> eyre::Result<(Stored, Store)> {
    let path = folder.join(FILE_NAME);
    let context = || format!("failed to open the agreement's file `{}`", path.display());
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
        match (postcard::from_bytes(record).wrap_err("a record can't be read")?, &mut stored) {
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
            (Record::Identity { .. }, Some(_)) => eyre::bail!("the file names two nodes"),
            (Record::Persist { .. } | Record::Committed { .. }, None) => {
                eyre::bail!("the file does not name its node")
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
    /// Writes what is queued until the queue is closed; `durable` learns the number of the last
    /// record of each batch, and `written` how many bytes of commands and snapshots it had.
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

    /// Writes a batch, or with `rewrite` another file with all that counts, again and again until it
    /// succeeds.
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

    /// Appends and syncs; `batch` stays as it is.
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

//! The durable claim ledger of this box.
//!
//! Data flow: commands are queued. One task takes all queued commands, appends them to the log in
//! one write, syncs once, applies them in order and replies to their proposers. Nothing is applied
//! before it is synced, so that everything reported to a caller survives a crash. If a write or
//! sync fails, the ledger is closed permanently: it can't be known what reached the disk, so that
//! every later claim is refused as not run until the process has restarted and read the files.
//!
//! Files in the data folder: `claims.lock`, held while the process runs; `claims.snapshot`, one
//! record with a generation and a ledger; `claims.N.log`, the commands since the snapshot of
//! generation N.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use compio::buf::BufResult;
use compio::io::AsyncWriteAtExt as _;
use eyre::WrapErr as _;
use eyre::bail;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt as _;
use vaneway_claims::Claim;
use vaneway_claims::ClaimKey;
use vaneway_claims::Command;
use vaneway_claims::Digest;
use vaneway_claims::Holder;
use vaneway_claims::Ledger;
use vaneway_claims::Reply;
use vaneway_claims::StoredResponse;

use crate::core::settings::ClaimSettings;
use crate::util::clock;
use crate::util::durable_file;
use crate::util::logline::Line;

/// The error of a ledger that was closed because a write failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerClosed;

impl std::fmt::Display for LedgerClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the claim ledger is closed because a write failed")
    }
}

impl std::error::Error for LedgerClosed {}

#[derive(Debug)]
struct Proposal {
    command: Command,
    reply: oneshot::Sender<Reply>,
}

#[derive(Debug)]
struct Shared {
    ledger: RefCell<Ledger>,
    /// Callers that wait for a running call of this box with the same key.
    waiting: RefCell<BTreeMap<ClaimKey, Vec<oneshot::Sender<()>>>>,
    /// Number of running calls whose claim this box holds.
    running_calls: Cell<usize>,
    closed: Cell<bool>,
}

/// Handle of the ledger; clones share it.
#[derive(Debug, Clone)]
pub struct Claims {
    shared: Rc<Shared>,
    proposals: mpsc::UnboundedSender<Proposal>,
    holder: Holder,
    retention: Duration,
}

/// The log file, and the offset of the next record.
#[derive(Debug)]
struct LogFile {
    folder: PathBuf,
    file: compio::fs::File,
    generation: u64,
    end: u64,
    /// Held for its lock, which ends with the process.
    _lock: File,
}

fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("claims.{generation}.log"))
}

fn snapshot_path(folder: &Path) -> PathBuf {
    folder.join("claims.snapshot")
}

/// Opens the ledger in `folder`. `holder` must differ from that of every earlier process that used
/// this folder. The outcome of calls that earlier processes left running becomes unknown.
///
/// # Errors
///
/// If another process uses the folder, a file can't be read or written, or a record is damaged.
pub async fn open(folder: &Path, holder: Holder, settings: &ClaimSettings) -> eyre::Result<Claims> {
    let context = || format!("failed to open the claim ledger in `{}`", folder.display());
    let (ledger, log) = load(folder).await.wrap_err_with(context)?;
    // Each call waits for its proposal, so that there are no more proposals than open calls.
    let (tx, rx) = mpsc::unbounded();
    let shared = Rc::new(Shared {
        ledger: RefCell::new(ledger),
        waiting: RefCell::default(),
        running_calls: Cell::new(0),
        closed: Cell::new(false),
    });
    compio::runtime::spawn(run_writer(Rc::clone(&shared), log, settings.snapshot_bytes, rx))
        .detach();
    let retention = settings.retention;
    let claims = Claims { shared, proposals: tx, holder, retention };
    claims.propose(Command::OnlyHolder { holder }).await.wrap_err_with(context)?;
    Ok(claims)
}

async fn load(folder: &Path) -> eyre::Result<(Ledger, LogFile)> {
    std::fs::create_dir_all(folder)?;
    let lock = File::create(folder.join("claims.lock"))?;
    if lock.try_lock().is_err() {
        bail!("another process uses this folder, give each its own `data_folder`");
    }
    let (generation, mut ledger) = load_snapshot(&snapshot_path(folder))?;
    let path = log_path(folder, generation);
    let context = || format!("failed to read `{}`", path.display());
    let bytes = durable_file::read(&path).wrap_err_with(context)?.unwrap_or_default();
    let recovered = vaneway_log::recover(&bytes).wrap_err_with(context)?;
    for record in &recovered.records {
        ledger.apply(Command::decode(record).wrap_err_with(context)?);
    }
    if recovered.torn_bytes > 0 {
        Line::new("log_tail_cut")
            .with("file", path.display())
            .with("offset", recovered.valid_bytes)
            .with("bytes", recovered.torn_bytes)
            .warn();
    }
    let end = recovered.valid_bytes as u64;
    let file = OpenOptions::new().write(true).create(true).truncate(false).open(&path)?;
    file.set_len(end)?;
    file.sync_all()?;
    durable_file::sync_folder(folder)?;
    drop(file);
    let file = open_for_writing(&path).await?;
    Line::new("claims_opened").with("keys", ledger.len()).with("generation", generation).info();
    Ok((ledger, LogFile { folder: folder.to_owned(), file, generation, end, _lock: lock }))
}

/// The generation and ledger of a snapshot; generation 0 and an empty ledger if there is none.
fn load_snapshot(path: &Path) -> eyre::Result<(u64, Ledger)> {
    let context = || format!("failed to read `{}`", path.display());
    let bytes = durable_file::read(path).wrap_err_with(context)?.unwrap_or_default();
    if bytes.is_empty() {
        return Ok((0, Ledger::new()));
    }
    let recovered = vaneway_log::recover(&bytes).wrap_err_with(context)?;
    let [generation, ledger] = recovered.records[..] else {
        // It was synced before it was renamed, so a missing part is damage and not a torn write.
        bail!(
            "`{}` is damaged: it has {} records, expected 2",
            path.display(),
            recovered.records.len()
        );
    };
    let generation = generation.try_into().wrap_err_with(context)?;
    Ok((u64::from_le_bytes(generation), Ledger::decode(ledger).wrap_err_with(context)?))
}

async fn open_for_writing(path: &Path) -> io::Result<compio::fs::File> {
    compio::fs::OpenOptions::new().write(true).open(path).await
}

async fn run_writer(
    shared: Rc<Shared>,
    mut log: LogFile,
    snapshot_bytes: u64,
    mut rx: mpsc::UnboundedReceiver<Proposal>,
) {
    while let Some(first) = rx.next().await {
        let mut batch = vec![first];
        while let Ok(more) = rx.try_recv() {
            batch.push(more);
        }
        if let Err(error) = append_batch(&mut log, &batch).await {
            shared.closed.set(true);
            Line::new("claims_closed").with("error", error).error();
            return;
        }
        for Proposal { command, reply } in batch {
            apply(&shared, command, reply);
        }
        if log.end >= snapshot_bytes
            && let Err(error) = compact(&shared, &mut log).await
        {
            Line::new("snapshot_failed").with("error", error).error();
            shared.closed.set(true);
            return;
        }
    }
}

async fn append_batch(log: &mut LogFile, batch: &[Proposal]) -> io::Result<()> {
    let mut bytes = Vec::new();
    for proposal in batch {
        vaneway_log::append(&mut bytes, &proposal.command.encode());
    }
    let count = bytes.len() as u64;
    let BufResult(written, _bytes) = log.file.write_all_at(bytes, log.end).await;
    written?;
    log.file.sync_data().await?;
    log.end += count;
    Ok(())
}

fn apply(shared: &Shared, command: Command, reply: oneshot::Sender<Reply>) {
    let ended = match &command {
        Command::Answer { key, .. } | Command::Unknown { key } | Command::Release { key, .. } => {
            Some(key.clone())
        }
        Command::Claim(_) | Command::OnlyHolder { .. } | Command::Expire { .. } => None,
    };
    let applied = shared.ledger.borrow_mut().apply(command);
    // The proposer may be gone.
    let _gone = reply.send(applied);
    if let Some(key) = ended {
        // Dropping the senders wakes the waiting callers.
        shared.waiting.borrow_mut().remove(&key);
    }
}

/// Writes a snapshot and starts an empty log after it. Rare and short enough to be done by the
/// writing task: a day of claims is a few megabytes.
async fn compact(shared: &Shared, log: &mut LogFile) -> io::Result<()> {
    let generation = log.generation + 1;
    let path = log_path(&log.folder, generation);
    File::create(&path)?.sync_all()?;
    let mut bytes = Vec::new();
    vaneway_log::append(&mut bytes, &generation.to_le_bytes());
    vaneway_log::append(&mut bytes, &shared.ledger.borrow().encode());
    let count = bytes.len();
    durable_file::replace(&snapshot_path(&log.folder), bytes).await?;
    let old = log_path(&log.folder, log.generation);
    log.file = open_for_writing(&path).await?;
    log.generation = generation;
    log.end = 0;
    Line::new("snapshot").with("generation", generation).with("bytes", count).info();
    // An old log that can't be removed does no harm, since it is never read again.
    if let Err(error) = std::fs::remove_file(&old) {
        log::warn!("event=old_log_stays file={} error={error:?}", old.display());
    }
    Ok(())
}

impl Claims {
    async fn propose(&self, command: Command) -> Result<Reply, LedgerClosed> {
        if self.shared.closed.get() {
            return Err(LedgerClosed);
        }
        let (tx, rx) = oneshot::channel();
        let proposal = Proposal { command, reply: tx };
        self.proposals.unbounded_send(proposal).map_err(|_writer_gone| LedgerClosed)?;
        rx.await.map_err(|_writer_gone| LedgerClosed)
    }

    /// Claims a key, and waits while a call with the same key is running at this box.
    ///
    /// # Errors
    ///
    /// If the ledger is closed: the call must not be sent.
    pub async fn claim(&self, key: &ClaimKey, digest: Digest) -> Result<Reply, LedgerClosed> {
        loop {
            let known = self.shared.ledger.borrow().lookup(key, &digest);
            match known {
                Some(Reply::Running) => self.wait_until_ended(key).await,
                Some(reply) => return Ok(reply),
                None => {
                    let at_ms = clock::since_epoch().as_millis() as u64;
                    let holder = self.holder;
                    let claim = Claim { key: key.clone(), digest, holder, at_ms };
                    let reply = self.propose(Command::Claim(claim)).await?;
                    if reply == Reply::Granted {
                        self.shared.running_calls.update(|count| count + 1);
                    }
                    if reply != Reply::Running {
                        return Ok(reply);
                    }
                }
            }
            if self.shared.closed.get() {
                return Err(LedgerClosed);
            }
        }
    }

    async fn wait_until_ended(&self, key: &ClaimKey) {
        let (tx, rx) = oneshot::channel();
        self.shared.waiting.borrow_mut().entry(key.clone()).or_default().push(tx);
        // Ends when the sender is dropped.
        let _ended = rx.await;
    }

    /// Records the outcome of a call whose claim was granted.
    ///
    /// # Errors
    ///
    /// If the ledger is closed; the outcome then becomes unknown at the next start.
    pub async fn finish(&self, key: ClaimKey, outcome: ClaimOutcome) -> Result<(), LedgerClosed> {
        let command = match outcome {
            ClaimOutcome::Answered(answer) => Command::Answer { key, answer },
            ClaimOutcome::Unknown => Command::Unknown { key },
            ClaimOutcome::NotRun => Command::Release { key, holder: self.holder },
        };
        let ended = self.propose(command).await;
        self.shared.running_calls.update(|count| count - 1);
        ended.map(|_applied| ())
    }

    /// Removes claims older than the retention time.
    ///
    /// # Errors
    ///
    /// If the ledger is closed.
    pub async fn expire(&self) -> Result<(), LedgerClosed> {
        let now = clock::since_epoch();
        let before_ms = now.saturating_sub(self.retention).as_millis() as u64;
        let due = self.shared.ledger.borrow().oldest_ms().is_some_and(|at| at < before_ms);
        if due {
            self.propose(Command::Expire { before_ms }).await?;
        }
        Ok(())
    }

    /// Number of running calls whose claim this box holds.
    pub fn running_calls(&self) -> usize {
        self.shared.running_calls.get()
    }

    /// Number of keys in the ledger.
    pub fn key_count(&self) -> usize {
        self.shared.ledger.borrow().len()
    }

    /// Whether a failed write closed the ledger.
    pub fn is_closed(&self) -> bool {
        self.shared.closed.get()
    }
}

/// Outcome of a call whose claim was granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// It ran, and this was its response.
    Answered(StoredResponse),
    /// It can't be known whether it ran.
    Unknown,
    /// It was certainly not run.
    NotRun,
}

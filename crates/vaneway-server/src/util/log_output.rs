//! Non-blocking, bounded log output.
//!
//! Everything runs on one thread, so a slow reader of standard output would stall all requests, and
//! a fault that makes every request log lines would use up the processor.
//!
//! [`Budgets`] limits the rate of the lines of each kind of event and suppresses the excess;
//! [`Output`] buffers what the reader has not consumed up to a limit and drops complete lines
//! beyond it. The number of missing lines is logged later in both cases.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

/// Maximum number of lines of one kind of event in a second: several times what an entry box at the
/// users' target load (17 requests a second per box) logs if each of its requests fails after three
/// attempts.
pub const MAX_LINES_PER_SECOND: u32 = 200;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of bytes buffered for the reader: roughly a second of the most that the budgets
/// allow.
pub const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Number of bytes that a writable pipe accepts without blocking (`PIPE_BUF`).
pub const PIPE_WRITE_BYTES: usize = 4_096;

/// Counts the lines of each kind of event in the current period.
#[derive(Debug, Default)]
pub struct Budgets {
    since: Option<Instant>,
    lines: BTreeMap<String, u32>,
}

/// Whether a line is written, and which lines have been suppressed before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line is written.
    pub written: bool,
    /// Kinds of which lines were suppressed in the period that has ended, with their number.
    pub suppressed: Vec<(String, u32)>,
}

impl Budgets {
    /// Counts a line of this kind and decides whether it is written.
    pub fn admit(&mut self, now: Instant, kind: &str) -> Admission {
        let mut suppressed = Vec::new();
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= PERIOD) {
            self.since = Some(now);
            let ended_period = std::mem::take(&mut self.lines).into_iter();
            suppressed.extend(ended_period.filter_map(|(kind, lines)| {
                let suppressed = lines.saturating_sub(MAX_LINES_PER_SECOND);
                (suppressed > 0).then_some((kind, suppressed))
            }));
        }
        let lines = match self.lines.get_mut(kind) {
            Some(lines) => lines,
            None => self.lines.entry(kind.to_owned()).or_default(),
        };
        *lines += 1;
        Admission { written: *lines <= MAX_LINES_PER_SECOND, suppressed }
    }
}

/// A destination of log lines.
pub trait Sink: Write {
    /// Whether it accepts [`PIPE_WRITE_BYTES`] bytes without blocking.
    fn is_writable(&self) -> bool;
}

/// Unbuffered standard output.
#[derive(Debug, Default)]
pub struct Stdout;

impl Write for Stdout {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        Ok(rustix::io::write(rustix::stdio::stdout(), buf)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink for Stdout {
    fn is_writable(&self) -> bool {
        let stdout = rustix::stdio::stdout();
        let mut fds = [PollFd::new(&stdout, PollFlags::OUT)];
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        match rustix::event::poll(&mut fds, Some(&no_wait)) {
            Ok(ready) => ready > 0,
            // If standard output can't be polled, it is written to regardless.
            Err(_) => true,
        }
    }
}

/// Buffer of lines for a sink whose reader may be slow.
#[derive(Debug)]
pub struct Output<S> {
    sink: S,
    buffered: VecDeque<u8>,
    /// Number of lines dropped since the last one that was buffered.
    dropped: u64,
}

impl<S: Sink> Output<S> {
    /// Creates an output with an empty buffer.
    pub const fn new(sink: S) -> Self {
        Self { sink, buffered: VecDeque::new(), dropped: 0 }
    }

    /// The sink.
    pub fn sink(&mut self) -> &mut S {
        &mut self.sink
    }

    /// Number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }

    fn enqueue(&mut self, line: &[u8]) {
        if self.buffered.len() + line.len() > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return;
        }
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            let note = format!("level=warn event=log_lines_dropped count={dropped}\n");
            self.buffered.extend(note.as_bytes());
        }
        self.buffered.extend(line);
    }

    fn write_buffered(&mut self) -> io::Result<()> {
        while !self.buffered.is_empty() && self.sink.is_writable() {
            let (first, _) = self.buffered.as_slices();
            let chunk = &first[..first.len().min(PIPE_WRITE_BYTES)];
            let count = self.sink.write(chunk)?;
            self.buffered.drain(..count);
        }
        Ok(())
    }
}

/// Each call of [`Write::write`] must pass exactly one line.
impl<S: Sink> Write for Output<S> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.enqueue(buf);
        self.write_buffered()?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_buffered()
    }
}

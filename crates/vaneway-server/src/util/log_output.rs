//! Where log lines go: a bounded amount, and never waiting for whoever reads them.
//!
//! Why: everything runs on one thread, so a reader of standard output that falls behind would stop
//! all requests, and a fault that makes every request log lines would spend the processor on them.
//!
//! Data flow: [`Budgets`] counts the lines of each kind of event and leaves out what is too many in
//! one second; [`Output`] keeps what the reader has not taken up to a limit and drops whole lines
//! beyond it. Both say later how much is missing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::time::Duration;
use std::time::Instant;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;

/// Lines of one kind of event in a second: several times what an entry box of the users' aim (17
/// requests a second each) logs if each of its requests fails with three attempts.
pub const MAX_LINES_PER_SECOND: u32 = 200;

/// Length of the time over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Bytes that may wait for the reader: a second of the most that budgets allow, roughly.
pub const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Bytes that a pipe takes without waiting once it says that it can take some (`PIPE_BUF`).
pub const PIPE_WRITE_BYTES: usize = 4_096;

/// Lines of each kind in the present second.
#[derive(Debug, Default)]
pub struct Budgets {
    since: Option<Instant>,
    lines: BTreeMap<String, u32>,
}

/// What becomes of a line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Admission {
    /// Whether it is written.
    pub written: bool,
    /// Kinds of which lines were left out in the second that is over, with how many.
    pub suppressed: Vec<(String, u32)>,
}

impl Budgets {
    /// Counts a line of this kind.
    pub fn admit(&mut self, now: Instant, kind: &str) -> Admission {
        let mut suppressed = Vec::new();
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= PERIOD) {
            self.since = Some(now);
            let over = std::mem::take(&mut self.lines).into_iter();
            suppressed.extend(over.filter_map(|(kind, lines)| {
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

/// Something that takes bytes.
pub trait Sink: Write {
    /// Whether it takes [`PIPE_WRITE_BYTES`] bytes without waiting.
    fn is_writable(&self) -> bool;
}

/// Standard output, without a buffer of its own.
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
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        match rustix::event::poll(&mut fds, Some(&at_once)) {
            Ok(ready) => ready > 0,
            // Whatever can't be asked is written to as any program does.
            Err(_) => true,
        }
    }
}

/// Lines on their way to a sink that may fall behind.
#[derive(Debug)]
pub struct Output<S> {
    sink: S,
    buffered: VecDeque<u8>,
    /// Lines dropped since the last one that was kept.
    dropped: u64,
}

impl<S: Sink> Output<S> {
    /// An output with nothing in it.
    pub const fn new(sink: S) -> Self {
        Self { sink, buffered: VecDeque::new(), dropped: 0 }
    }

    /// The sink.
    pub fn sink(&mut self) -> &mut S {
        &mut self.sink
    }

    /// Bytes that wait.
    pub fn buffered(&self) -> usize {
        self.buffered.len()
    }

    fn keep(&mut self, line: &[u8]) {
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

    fn pass_on(&mut self) -> io::Result<()> {
        while !self.buffered.is_empty() && self.sink.is_writable() {
            let (first, _) = self.buffered.as_slices();
            let piece = &first[..first.len().min(PIPE_WRITE_BYTES)];
            let count = self.sink.write(piece)?;
            self.buffered.drain(..count);
        }
        Ok(())
    }
}

/// Each call brings one line.
impl<S: Sink> Write for Output<S> {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.keep(buf);
        self.pass_on()?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.pass_on()
    }
}

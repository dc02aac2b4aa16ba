//! Structured logging: one line of key=value pairs for each event.
//!
//! Lines are rate-limited for each kind of event, and logging never blocks; see
//! [`log_output`](crate::util::log_output).

use std::cell::RefCell;
use std::fmt::Write as _;
use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use env_logger::Env;
use env_logger::Target;
use log::Level;

use crate::util::clock;
use crate::util::log_output::Budgets;
use crate::util::log_output::Output;
use crate::util::log_output::Stdout;
use crate::util::timers::Timers;

/// Environment variable that sets the log level, for example `VANEWAY_LOG=debug`.
pub const LEVEL_VARIABLE: &str = "VANEWAY_LOG";

/// Interval at which buffered lines are written if the reader accepts them.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// The output of all log lines of the process.
static OUTPUT: Mutex<Output<Stdout>> = Mutex::new(Output::new(Stdout));

fn output() -> MutexGuard<'static, Output<Stdout>> {
    OUTPUT.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes the logger's lines to [`OUTPUT`].
struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        output().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        output().flush()
    }
}

/// Periodically writes buffered lines, so that they reach a slow reader even if no other lines are
/// logged. Runs until dropped.
pub async fn flush_periodically(timers: Timers) {
    loop {
        timers.sleep(FLUSH_INTERVAL).await;
        // If standard output is closed, the error can't be reported anywhere.
        let _flushed = output().flush();
    }
}

/// Installs a logger that writes to standard output. The default level is `info`; the environment
/// variable [`LEVEL_VARIABLE`] overrides it.
pub fn init() {
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info,compio=warn,hyper=warn,cyper=warn");
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(Target::Pipe(Box::new(LogWriter)));
    builder.format(|out, record| {
        let since = clock::since_epoch();
        let level = record.level().as_str().to_ascii_lowercase();
        let millis = since.subsec_millis();
        writeln!(out, "time={}.{millis:03} level={level} {}", since.as_secs(), record.args())
    });
    // A second call in one process, as in tests, keeps the first logger.
    let _already_set = builder.try_init();
}

/// Builds one line of key=value pairs.
///
/// ```
/// use vaneway_server::util::logline::Line;
///
/// let line = Line::new("stopped").with("open", 3).with("why", "drain deadline").build();
/// assert_eq!(line, r#"event=stopped open=3 why="drain deadline""#);
/// ```
#[derive(Debug, Clone)]
pub struct Line(String);

/// Prefix of every line, followed by the kind of event.
const EVENT: &str = "event=";

thread_local! {
    /// Rate limits of this thread's lines; a process does all of its work on one thread.
    static BUDGETS: RefCell<Budgets> = RefCell::default();
}

impl Line {
    /// Creates a line for an event of kind `event`.
    pub fn new(event: &str) -> Self {
        Self(format!("{EVENT}{event}"))
    }

    /// Adds a pair. The value is quoted if it is empty or contains white space, quotes or `=`.
    ///
    /// # Panics
    ///
    /// Never: writing to a string does not fail.
    #[must_use]
    pub fn with(mut self, key: &str, value: impl std::fmt::Display) -> Self {
        let value = value.to_string();
        let plain = !value.is_empty() && !value.contains([' ', '"', '=', '\n', '\t']);
        let written = if plain {
            write!(self.0, " {key}={value}")
        } else {
            write!(self.0, " {key}={value:?}")
        };
        written.expect("writing to a string does not fail");
        self
    }

    /// The line's text.
    pub fn build(self) -> String {
        self.0
    }

    /// The kind of event.
    fn kind(&self) -> &str {
        let text = &self.0[EVENT.len()..];
        text.split_once(' ').map_or(text, |(kind, _)| kind)
    }

    /// Logs the line at level `info`.
    pub fn info(self) {
        self.log(Level::Info);
    }

    /// Logs the line at level `debug`. Check [`Line::debug_enabled`] first where building many
    /// lines for nothing would be costly.
    pub fn debug(self) {
        self.log(Level::Debug);
    }

    /// Whether lines at level `debug` are logged.
    pub fn debug_enabled() -> bool {
        log::log_enabled!(Level::Debug)
    }

    /// Logs the line at level `warn`.
    pub fn warn(self) {
        self.log(Level::Warn);
    }

    /// Logs the line at level `error`.
    pub fn error(self) {
        self.log(Level::Error);
    }

    fn log(self, level: Level) {
        let now = clock::now();
        let admission = BUDGETS.with_borrow_mut(|budgets| budgets.admit(now, self.kind()));
        for (kind, count) in admission.suppressed {
            log::warn!("event=log_lines_left_out kind={kind} count={count}");
        }
        if admission.written {
            log::log!(level, "{}", self.0);
        }
    }
}

//! One line of key=value pairs for each event.
//!
//! Lines are bounded for each kind of event and never wait for their reader; see
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

/// Time between two looks whether the reader takes what waits for it.
const PASS_ON_EVERY: Duration = Duration::from_millis(100);

/// What all lines go through.
static OUTPUT: Mutex<Output<Stdout>> = Mutex::new(Output::new(Stdout));

fn output() -> MutexGuard<'static, Output<Stdout>> {
    OUTPUT.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The logger's way to [`OUTPUT`].
struct ToOutput;

impl Write for ToOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        output().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        output().flush()
    }
}

/// Passes on lines that wait for their reader also while no others are logged, until dropped.
pub async fn pass_on_waiting(timers: Timers) {
    loop {
        timers.sleep(PASS_ON_EVERY).await;
        // Where standard output is gone there is nowhere to say so.
        let _passed_on = output().flush();
    }
}

/// Sends log lines to standard output, from level `info` up unless the environment says otherwise.
pub fn init() {
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info,compio=warn,hyper=warn,cyper=warn");
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(Target::Pipe(Box::new(ToOutput)));
    builder.format(|out, record| {
        let since = clock::since_epoch();
        let level = record.level().as_str().to_ascii_lowercase();
        let millis = since.subsec_millis();
        writeln!(out, "time={}.{millis:03} level={level} {}", since.as_secs(), record.args())
    });
    // A second call in one process, as tests make, keeps the first logger.
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

/// What every line begins with, before its kind.
const EVENT: &str = "event=";

thread_local! {
    /// Lines of each kind that this thread logged; all of a process's work is on one.
    static BUDGETS: RefCell<Budgets> = RefCell::default();
}

impl Line {
    /// A line for `event`.
    pub fn new(event: &str) -> Self {
        Self(format!("{EVENT}{event}"))
    }

    /// Adds a pair; a value with blanks or quotes is quoted.
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

    /// Logs the line at level `debug`; where many would be made in vain, ask [`Line::debug_enabled`] first.
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

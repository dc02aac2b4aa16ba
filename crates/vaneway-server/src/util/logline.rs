//! One line of key=value pairs for each event.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use env_logger::Env;
use env_logger::Target;

/// Environment variable that sets the log level, for example `VANEWAY_LOG=debug`.
pub const LEVEL_VARIABLE: &str = "VANEWAY_LOG";

/// Sends log lines to standard output, from level `info` up unless the environment says otherwise.
pub fn init() {
    let env = Env::new().filter_or(LEVEL_VARIABLE, "info,compio=warn,hyper=warn,cyper=warn");
    let mut builder = env_logger::Builder::from_env(env);
    builder.target(Target::Stdout);
    builder.format(|out, record| {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
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

impl Line {
    /// A line for `event`.
    pub fn new(event: &str) -> Self {
        Self(format!("event={event}"))
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

    /// Logs the line at level `info`.
    pub fn info(self) {
        log::info!("{}", self.0);
    }

    /// Logs the line at level `warn`.
    pub fn warn(self) {
        log::warn!("{}", self.0);
    }

    /// Logs the line at level `error`.
    pub fn error(self) {
        log::error!("{}", self.0);
    }
}

//! `vaneway run`: runs an entry until it is told to stop.

use std::path::Path;
use std::rc::Rc;

use compio::signal::unix;
use eyre::WrapErr as _;
use eyre::bail;

use crate::core::entry::Entry;
use crate::core::running;
use crate::core::settings;
use crate::util::logline::Line;

/// Signal numbers, which are the same on every Unix that compio runs on.
mod signal_number {
    /// Asks for a dump of the state.
    pub const HANGUP: i32 = 1;
    /// Asks for a planned stop from a terminal.
    pub const INTERRUPT: i32 = 2;
    /// Asks for a planned stop.
    pub const TERMINATE: i32 = 15;
}

/// Runs an entry with the settings at `path` until SIGTERM or SIGINT; SIGHUP writes its state to
/// the log.
///
/// # Errors
///
/// If the settings have findings, an address can't be bound, or the stop cut requests off.
pub fn run(path: &Path) -> eyre::Result<()> {
    let settings = settings::read_file(path)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("failed to start the event loop")?;
    Line::new("loop").with("driver", format!("{:?}", runtime.driver_type())).info();
    runtime.block_on(async {
        let entry = running::spawn(settings).await?;
        compio::runtime::spawn(dump_on_hangup(Rc::clone(entry.entry()))).detach();
        wait_for_stop().await?;
        match entry.stop().await {
            0 => Ok(()),
            cut_off => bail!("the stop cut off {cut_off} requests; raise `$.stop.finish_ms`"),
        }
    })
}

async fn wait_for_stop() -> eyre::Result<()> {
    let terminate = unix::signal(signal_number::TERMINATE);
    let interrupt = unix::signal(signal_number::INTERRUPT);
    futures_util::pin_mut!(terminate, interrupt);
    let stopped = futures_util::future::select(terminate, interrupt).await;
    stopped.factor_first().0.wrap_err("failed to wait for a signal")
}

async fn dump_on_hangup(entry: Rc<Entry>) {
    while unix::signal(signal_number::HANGUP).await.is_ok() {
        log::info!("event=dump state={}", entry.dump());
    }
}

//! `vaneway run`: runs an entry or control box until it is signalled to stop.

use std::io;
use std::path::Path;
use std::pin::pin;
use std::rc::Rc;

use eyre::WrapErr as _;
use eyre::bail;
use serde_json::Value;

use crate::core::callers::native::NativeCallers;
use crate::core::callers::protocol::CallerProtocol;
use crate::core::control;
use crate::core::control::native::NativeCloud;
use crate::core::control::native::NativeControl;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::protocol::ControlProtocol;
use crate::core::running;
use crate::core::settings;
use crate::core::settings::ControlSettings;
use crate::core::settings::ProcessSettings;
use crate::core::settings::Settings;
use crate::util::logline;
use crate::util::logline::Line;
use crate::util::signals::Signal;

/// Signal numbers, which are the same on every Unix that compio runs on.
mod signal_number {
    /// SIGHUP requests a dump of the state.
    pub const HANGUP: i32 = 1;
    /// SIGINT requests a planned stop from a terminal.
    pub const INTERRUPT: i32 = 2;
    /// SIGTERM requests a planned stop.
    pub const TERMINATE: i32 = 15;
}

/// The external protocols of a process.
pub trait Protocols {
    /// Protocol for callers of an entry box.
    type Callers: CallerProtocol;
    /// Protocol for endpoints and operators of a control box.
    type Control: ControlProtocol;
    /// Protocol of the cloud's interface.
    type Cloud: CloudProtocol;

    /// Creates the protocol for callers of an entry box.
    fn callers(&self) -> Self::Callers;

    /// Creates the protocol for endpoints and operators of a control box.
    fn control(&self) -> Self::Control;

    /// Creates the protocol of the cloud's interface.
    fn cloud(&self) -> Self::Cloud;
}

/// The native protocols of vaneway, as opposed to those of a platform.
#[derive(Debug, Clone, Copy)]
pub struct NativeProtocols;

impl Protocols for NativeProtocols {
    type Callers = NativeCallers;
    type Control = NativeControl;
    type Cloud = NativeCloud;

    fn callers(&self) -> NativeCallers {
        NativeCallers
    }

    fn control(&self) -> NativeControl {
        NativeControl { port: None }
    }

    fn cloud(&self) -> NativeCloud {
        NativeCloud
    }
}

/// Runs an entry or control box with the settings at `path` until SIGTERM or SIGINT. SIGHUP writes
/// the state to the log.
///
/// # Errors
///
/// If the settings have findings, an address can't be bound, or the stop aborted requests.
pub fn run<P: Protocols>(path: &Path, protocols: &P) -> eyre::Result<()> {
    let settings = settings::read_process_file(path)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("failed to start the event loop")?;
    Line::new("loop").with("driver", format!("{:?}", runtime.driver_type())).info();
    runtime.block_on(async {
        let signals = Signals::listen().wrap_err("failed to install the signal handlers")?;
        match settings {
            ProcessSettings::Entry(settings) => {
                run_entry(*settings, protocols.callers(), signals).await
            }
            ProcessSettings::Control(settings) => {
                run_control(*settings, protocols.control(), protocols.cloud(), signals).await
            }
        }
    })
}

async fn run_entry<C: CallerProtocol>(
    settings: Settings,
    callers: C,
    signals: Signals,
) -> eyre::Result<()> {
    let entry = running::spawn_with(settings, callers).await?;
    let state = Rc::clone(entry.entry());
    compio::runtime::spawn(logline::flush_periodically(state.timers.clone())).detach();
    signals.wait_for_stop(move || state.dump()).await?;
    match entry.stop().await {
        0 => Ok(()),
        aborted => bail!("the stop aborted {aborted} open requests; raise `$.stop.finish_ms`"),
    }
}

async fn run_control<P: ControlProtocol, C: CloudProtocol>(
    settings: ControlSettings,
    protocol: P,
    cloud: C,
    signals: Signals,
) -> eyre::Result<()> {
    let control = control::running::spawn(settings, protocol, cloud).await?;
    let state = Rc::clone(control.control());
    compio::runtime::spawn(logline::flush_periodically(state.timers.clone())).detach();
    signals.wait_for_stop(move || state.dump()).await?;
    control.stop().await;
    Ok(())
}

/// The signals that a process handles.
///
/// The handlers are installed as soon as the event loop runs and are never removed: the default
/// action of all three signals, SIGHUP included, is to terminate the process.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    fn listen() -> io::Result<Self> {
        Ok(Self {
            hangup: Signal::listen(signal_number::HANGUP)?,
            terminate: Signal::listen(signal_number::TERMINATE)?,
            interrupt: Signal::listen(signal_number::INTERRUPT)?,
        })
    }

    /// Waits for SIGTERM or SIGINT. Each SIGHUP writes `dump` to the log, also while the process is
    /// stopping.
    async fn wait_for_stop(self, dump: impl Fn() -> Value + 'static) -> eyre::Result<()> {
        let Self { hangup, terminate, interrupt } = self;
        compio::runtime::spawn(dump_on_hangup(hangup, dump)).detach();
        let (terminate, interrupt) = (pin!(terminate.recv()), pin!(interrupt.recv()));
        let stopped = futures_util::future::select(terminate, interrupt).await;
        stopped.factor_first().0.wrap_err("failed to wait for a signal")
    }
}

async fn dump_on_hangup(hangup: Signal, dump: impl Fn() -> Value) {
    loop {
        match hangup.recv().await {
            Ok(()) => log::info!("event=dump state={}", dump()),
            Err(error) => {
                log::warn!("event=hangups_not_heard error={error:?}");
                return;
            }
        }
    }
}

//! `vaneway run`: runs an entry or control box until it is told to stop.

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
    /// Asks for a dump of the state.
    pub const HANGUP: i32 = 1;
    /// Asks for a planned stop from a terminal.
    pub const INTERRUPT: i32 = 2;
    /// Asks for a planned stop.
    pub const TERMINATE: i32 = 15;
}

/// The protocols that a process speaks with the outside.
pub trait Protocols {
    /// Towards callers.
    type Callers: CallerProtocol;
    /// Towards endpoints and operators of a control box.
    type Control: ControlProtocol;
    /// Towards the cloud.
    type Cloud: CloudProtocol;

    /// The callers' protocol of an entry box.
    fn callers(&self) -> Self::Callers;

    /// The protocol of a control box.
    fn control(&self) -> Self::Control;

    /// The cloud's protocol.
    fn cloud(&self) -> Self::Cloud;
}

/// The product's own protocols.
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

/// Runs an entry or control box with the settings at `path` until SIGTERM or SIGINT; SIGHUP writes
/// its state to the log.
///
/// # Errors
///
/// If the settings have findings, an address can't be bound, or the stop cut requests off.
pub fn run<P: Protocols>(path: &Path, protocols: &P) -> eyre::Result<()> {
    let settings = settings::read_process_file(path)?;
    let runtime = compio::runtime::Runtime::new().wrap_err("failed to start the event loop")?;
    Line::new("loop").with("driver", format!("{:?}", runtime.driver_type())).info();
    runtime.block_on(async {
        let signals = Signals::listen().wrap_err("failed to listen for signals")?;
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
    compio::runtime::spawn(logline::pass_on_waiting(state.timers.clone())).detach();
    signals.wait_for_stop(move || state.dump()).await?;
    match entry.stop().await {
        0 => Ok(()),
        cut_off => bail!("the stop cut off {cut_off} requests; raise `$.stop.finish_ms`"),
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
    compio::runtime::spawn(logline::pass_on_waiting(state.timers.clone())).detach();
    signals.wait_for_stop(move || state.dump()).await?;
    control.stop().await;
    Ok(())
}

/// The signals that a process heeds.
///
/// Why from the first moment on and without a gap: where nothing listens, the system ends the process, also
/// for a hangup.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Listens from now on.
    fn listen() -> io::Result<Self> {
        Ok(Self {
            hangup: Signal::listen(signal_number::HANGUP)?,
            terminate: Signal::listen(signal_number::TERMINATE)?,
            interrupt: Signal::listen(signal_number::INTERRUPT)?,
        })
    }

    /// Waits until the process is asked to stop; each hangup writes `dump` to the log, also during the stop.
    async fn wait_for_stop(self, dump: impl Fn() -> Value + 'static) -> eyre::Result<()> {
        let Self { hangup, terminate, interrupt } = self;
        compio::runtime::spawn(dump_on_hangup(hangup, dump)).detach();
        let (terminate, interrupt) = (pin!(terminate.came()), pin!(interrupt.came()));
        let stopped = futures_util::future::select(terminate, interrupt).await;
        stopped.factor_first().0.wrap_err("failed to wait for a signal")
    }
}

async fn dump_on_hangup(hangup: Signal, dump: impl Fn() -> Value) {
    loop {
        match hangup.came().await {
            Ok(()) => log::info!("event=dump state={}", dump()),
            Err(error) => {
                log::warn!("event=hangups_not_heard error={error:?}");
                return;
            }
        }
    }
}

//! Unix signals, delivered to the event loop through a pipe.
//!
//! The event loop's own listener is not used: its signal handler wakes a task, and the signal may
//! interrupt the very code that this calls. When a burst of SIGHUP was sent to processes that had
//! just started, one process in forty never received any of them. Here the handler writes one byte
//! and does nothing else.

use std::future::poll_fn;
use std::io;
use std::io::PipeReader;
use std::io::Read as _;

use compio::runtime::fd::PollFd;
use signal_hook::low_level::pipe;

/// Size of one read from the pipe, in bytes. Signals that arrive before the read count as one.
const READ_BYTES: usize = 64;

/// A handler for one signal, installed for the lifetime of the process.
#[derive(Debug)]
pub struct Signal(PollFd<PipeReader>);

impl Signal {
    /// Installs a handler for the signal with this number.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error, for example that file descriptors are exhausted.
    pub fn listen(number: i32) -> io::Result<Self> {
        let (rx, tx) = io::pipe()?;
        rustix::io::ioctl_fionbio(&rx, true)?;
        pipe::register(number, tx)?;
        Ok(Self(PollFd::new(rx)?))
    }

    /// Waits for the signal; ready at once if it has arrived since the last call.
    ///
    /// # Errors
    ///
    /// If the operating system reports an error.
    pub async fn recv(&self) -> io::Result<()> {
        let mut buf = [0; READ_BYTES];
        let read = poll_fn(|cx| {
            self.0.poll_read_with(cx, |pipe| {
                let mut pipe = pipe;
                pipe.read(&mut buf)
            })
        });
        read.await.map(|_count| ())
    }
}

//! Signals of the system, handed to the event loop through a pipe.
//!
//! Why not the event loop's own listener: it wakes its task from within the handler, which may interrupt the very code
//! that it calls. Under a burst of hangups that came to a process that had just started, one of forty such processes never
//! heard any. Here the handler writes one byte and nothing else.

use std::future::poll_fn;
use std::io;
use std::io::PipeReader;
use std::io::Read as _;

use compio::runtime::fd::PollFd;
use signal_hook::low_level::pipe;

/// Bytes that are taken from the pipe at once: signals that came meanwhile count as one.
const TAKEN_AT_ONCE: usize = 64;

/// A signal that is listened for as long as the process runs.
#[derive(Debug)]
pub struct Signal(PollFd<PipeReader>);

impl Signal {
    /// Listens for the signal with this number from now on.
    ///
    /// # Errors
    ///
    /// The operating system's, for example when descriptors run out.
    pub fn listen(number: i32) -> io::Result<Self> {
        let (rx, tx) = io::pipe()?;
        rustix::io::ioctl_fionbio(&rx, true)?;
        pipe::register(number, tx)?;
        Ok(Self(PollFd::new(rx)?))
    }

    /// Waits until the signal has come since this was last asked.
    ///
    /// # Errors
    ///
    /// The operating system's.
    pub async fn came(&self) -> io::Result<()> {
        let mut buf = [0; TAKEN_AT_ONCE];
        let read = poll_fn(|cx| {
            self.0.poll_read_with(cx, |pipe| {
                let mut pipe = pipe;
                pipe.read(&mut buf)
            })
        });
        read.await.map(|_count| ())
    }
}

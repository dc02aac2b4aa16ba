//! Limits the processor time of processes.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::Process;

/// How long a throttled process runs before it is paused again.
const RUN_TIME: Duration = Duration::from_millis(3);

/// Limits a process to a share of the time by pausing it with SIGSTOP, until dropped.
#[derive(Debug)]
pub struct Throttle {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Lets a process run for `share` of the time (above 0, at most 1). The process has to outlive
    /// this value, or its id might be reused.
    ///
    /// # Panics
    ///
    /// If the process's id is zero.
    pub fn start(process: &Process, share: f64) -> Self {
        let pause_time = RUN_TIME.mul_f64((1.0 - share) / share);
        let id = Pid::from_raw(process.id().cast_signed()).expect("the process has an id");
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                send(id, Signal::STOP);
                std::thread::sleep(pause_time);
                send(id, Signal::CONT);
                std::thread::sleep(RUN_TIME);
            }
        });
        Self { stop, thread: Some(thread) }
    }
}

fn send(id: Pid, signal: Signal) {
    // The process may have exited already.
    let _sent = rustix::process::kill_process(id, signal);
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

//! Processes that get little processor time.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::Pid;
use rustix::process::Signal;

use crate::Process;

/// How long a throttled process runs at a time.
const RUNS_FOR: Duration = Duration::from_millis(3);

/// How long it then stands still.
const RESTS_FOR: Duration = Duration::from_millis(7);

/// Lets a process run for three tenths of the time, until dropped.
#[derive(Debug)]
pub struct Throttle {
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Throttle {
    /// Throttles a process, which has to outlive this.
    ///
    /// # Panics
    ///
    /// If the process's id is none.
    pub fn start(process: &Process) -> Self {
        let id = Pid::from_raw(process.id() as i32).expect("the process has an id");
        let ended = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&ended);
        let thread = std::thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                send(id, Signal::STOP);
                std::thread::sleep(RESTS_FOR);
                send(id, Signal::CONT);
                std::thread::sleep(RUNS_FOR);
            }
        });
        Self { ended, thread: Some(thread) }
    }
}

fn send(id: Pid, signal: Signal) {
    // The process may have ended already.
    let _sent = rustix::process::kill_process(id, signal);
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

//! The thread and event loop of a stand-in.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread::JoinHandle;
use std::time::Instant;

use futures_channel::oneshot;
use futures_util::future::select;

use crate::ports;

/// A running stand-in. Dropping it ends its thread and closes its sockets at once, as the crash of
/// a process would.
#[derive(Debug)]
pub struct Standin {
    address: SocketAddr,
    ended_at: Arc<OnceLock<Instant>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Standin {
    /// Starts a thread that listens on an ephemeral loopback port and runs `work`.
    ///
    /// # Panics
    ///
    /// If the port can't be bound or the thread can't be started.
    pub fn spawn<F: Future<Output = ()>>(
        name: &str,
        work: impl FnOnce(TcpListener) -> F + Send + 'static,
    ) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (tx, rx) = std::sync::mpsc::channel();
        let ended_at = Arc::new(OnceLock::new());
        let for_thread = Arc::clone(&ended_at);
        let body = move || {
            let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
            runtime.block_on(async move {
                let listener = ports::listen();
                let address = listener.local_addr().expect("a bound socket");
                tx.send(address).expect("the spawner waits");
                let work = work(listener);
                futures_util::pin_mut!(work);
                select(work, stopped).await;
            });
            drop(runtime);
            for_thread.set(Instant::now()).expect("a thread ends once");
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(body);
        let thread = thread.expect("a thread starts");
        let address = rx.recv().expect("the stand-in binds its port");
        Self { address, ended_at, stop: Some(stop), thread: Some(thread) }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until its work has ended, and returns when all its sockets had been closed.
    pub fn wait_for_end(&self) -> Instant {
        *self.ended_at.wait()
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("a stand-in's thread panicked");
        }
    }
}

//! A proxy in front of a replica that can cut it off: while it does, bytes and ends of connections
//! are held back, and new connections get no answer. Nothing is lost: when the cut has healed, what
//! was held back arrives, as over TCP.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Time between two checks whether a cut has healed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// If it can't listen.
    pub fn spawn(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let cut = Arc::clone(&cut);
                thread::spawn(move || forward(stream, target, &cut));
            }
        });
        Ok(Self { address, is_cut })
    }

    /// Cuts the replica off, or ends the cut.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

fn wait_for_heal(is_cut: &AtomicBool) {
    while is_cut.load(Ordering::Relaxed) {
        thread::sleep(CHECK_INTERVAL);
    }
}

fn forward(caller: TcpStream, target: SocketAddr, is_cut: &Arc<AtomicBool>) {
    wait_for_heal(is_cut);
    // Nothing listens there: the caller's connection ends.
    let Ok(replica) = TcpStream::connect(target) else { return };
    let _best_effort = (caller.set_nodelay(true), replica.set_nodelay(true));
    let (Ok(from_caller), Ok(to_replica)) = (caller.try_clone(), replica.try_clone()) else {
        return;
    };
    let cut = Arc::clone(is_cut);
    thread::spawn(move || pump(from_caller, to_replica, &cut));
    pump(replica, caller, is_cut);
}

/// Copies bytes until the end, which is passed on in order. After a reset the other side hears
/// nothing more.
fn pump(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let mut bytes = [0; 16_384];
    loop {
        let read = from.read(&mut bytes);
        wait_for_heal(is_cut);
        match read {
            Ok(0) => {
                let _ended_already = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) if to.write_all(&bytes[..count]).is_ok() => {}
            Ok(_) => {
                let _ended_already = from.shutdown(Shutdown::Both);
                return;
            }
            Err(_) => loop {
                thread::park();
            },
        }
    }
}

//! A simulated control box that sends only the messages given by the test.

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;

use vaneway_server::core::cluster::wire::BetweenControl;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::util::frames::EncodedFrame;

/// A node that is not a member of the Raft group.
const NODE: u64 = 1;

/// A connection to a control box until dropped. Messages from the control box are not read.
#[derive(Debug)]
pub struct WireControl(TcpStream);

impl WireControl {
    /// Connects to a control box at its address for other boxes.
    ///
    /// # Panics
    ///
    /// If it can't connect.
    pub fn connect(control: SocketAddr) -> Self {
        let stream = TcpStream::connect(control).expect("the control box accepts connections");
        let peer = Self(stream);
        peer.send(BetweenControl::Hello { node: NODE });
        peer
    }

    /// Sends a message.
    ///
    /// # Panics
    ///
    /// If the connection is closed.
    pub fn send(&self, message: BetweenControl) {
        let message = EncodedFrame::new(&ToControl::Control(message));
        (&self.0).write_all(message.frame()).expect("the connection is open");
    }
}

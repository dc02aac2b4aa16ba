//! Another control box, as a control box sees it, that says only what a test has it say.

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;

use vaneway_server::core::cluster::wire::BetweenControl;
use vaneway_server::core::cluster::wire::ToControl;
use vaneway_server::util::frames::EncodedFrame;

/// A node that takes no part in the agreement.
const NODE: u64 = 1;

/// A connection to a control box until dropped. What it is told is not read.
#[derive(Debug)]
pub struct WireControl(TcpStream);

impl WireControl {
    /// Connects to a control box by its address for other boxes.
    ///
    /// # Panics
    ///
    /// If it can't connect.
    pub fn connect(control: SocketAddr) -> Self {
        let stream = TcpStream::connect(control).expect("the control box takes connections");
        let peer = Self(stream);
        peer.send(BetweenControl::Hello { node: NODE });
        peer
    }

    /// Tells the control box something.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub fn send(&self, message: BetweenControl) {
        let message = EncodedFrame::new(&ToControl::Control(message));
        (&self.0).write_all(message.frame()).expect("the connection holds");
    }
}

//! The listener for callers.

use std::io;
use std::rc::Rc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::core::callers::protocol::CallerProtocol;
use crate::core::entry::Entry;
use crate::util::body::ResponseBody;
use crate::util::http_server;
use crate::util::http_server::ConnectionLimits;
use crate::util::http_server::Handler;
use crate::util::http_server::HttpServer;

/// Handles the requests of callers, in the callers' protocol.
#[derive(Debug)]
struct CallerHandler<C> {
    entry: Rc<Entry>,
    protocol: C,
}

/// Starts listening for callers.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind<C: CallerProtocol>(entry: Rc<Entry>, protocol: C) -> io::Result<HttpServer> {
    let timers = entry.timers.clone();
    let listen = entry.settings.listen;
    http_server::bind(listen, timers, Rc::new(CallerHandler { entry, protocol }))
}

impl<C: CallerProtocol> Handler for CallerHandler<C> {
    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        self.protocol.serve(Rc::clone(&self.entry), req).await
    }

    fn limits(&self) -> ConnectionLimits {
        let limits = self.entry.caller_limits();
        ConnectionLimits {
            header_bytes: limits.header_bytes,
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout,
        }
    }

    fn connections_changed(&self, count: usize) {
        self.entry.caller_connections.set(count);
    }
}

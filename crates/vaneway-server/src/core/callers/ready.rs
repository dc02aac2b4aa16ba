//! The address where balancers ask whether this box is ready.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;

use crate::core::entry::Entry;
use crate::core::entry::Phase;
use crate::util::body::ResponseBody;
use crate::util::http_server;
use crate::util::http_server::ConnectionLimits;
use crate::util::http_server::Handler;
use crate::util::http_server::HttpServer;

/// Largest head of a question.
const HEADER_BYTES: usize = 8 << 10;

struct Ready(Rc<Entry>);

/// Starts to answer on `listen`: 200 while the box takes requests, else 503.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind(entry: Rc<Entry>, listen: SocketAddr) -> io::Result<HttpServer> {
    let timers = entry.timers.clone();
    http_server::bind(listen, timers, Rc::new(Ready(entry)))
}

/// Time after a start in which a box waits to hear what the others took of quotas: some tellings. One that
/// has not heard takes nothing of any quota, and would refuse requests that others can take.
const QUOTAS_HEARD_WITHIN: Duration = Duration::from_millis(1_500);

/// Whether the box takes requests and, where there are control boxes, knows where to send them and what
/// is left of quotas.
pub fn is_ready(entry: &Entry) -> bool {
    let configured = entry.settings.follow.is_none() || entry.table().is_some();
    let quotas = entry.quotas.are_synced() || entry.uptime() >= QUOTAS_HEARD_WITHIN;
    configured && quotas && entry.phase() == Phase::Serving
}

impl Handler for Ready {
    async fn handle(self: Rc<Self>, _req: Request<Incoming>) -> Response<ResponseBody> {
        let (status, text) = if is_ready(&self.0) {
            (StatusCode::OK, "ready\n")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
        let mut response = Response::new(ResponseBody::full(Bytes::from_static(text.as_bytes())));
        *response.status_mut() = status;
        response
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::for_internal_calls(HEADER_BYTES)
    }
}

//! The address at which load balancers check whether this box is ready.

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

/// Maximum size of a request head, in bytes.
const MAX_HEADER_BYTES: usize = 8 << 10;

struct ReadinessHandler(Rc<Entry>);

/// Starts listening on `listen`. Responds with 200 while the box accepts requests, else with 503.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind(entry: Rc<Entry>, listen: SocketAddr) -> io::Result<HttpServer> {
    let timers = entry.timers.clone();
    http_server::bind(listen, timers, Rc::new(ReadinessHandler(entry)))
}

/// Maximum time after its start for which a box waits for the other boxes' use of quotas: several
/// updates. A box that has received none takes no units of any quota, and would refuse requests
/// that other boxes can admit.
const QUOTA_SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether the box accepts requests and, if there are control boxes, has a configuration and knows
/// the remaining quotas.
pub fn is_ready(entry: &Entry) -> bool {
    let configured = entry.settings.follow.is_none() || entry.table().is_some();
    let quotas_known = entry.quotas.are_synced() || entry.uptime() >= QUOTA_SYNC_TIMEOUT;
    configured && quotas_known && entry.phase() == Phase::Serving
}

impl Handler for ReadinessHandler {
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
        ConnectionLimits::for_internal_calls(MAX_HEADER_BYTES)
    }
}

//! The listener for calls that other entry boxes forward.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::core::callers::native;
use crate::core::calls::call;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::endpoints::response_owner::REQUEST_ID;
use crate::core::entry::Entry;
use crate::core::entry::Phase;
use crate::core::neighbours::origins;
use crate::core::neighbours::probe;
use crate::core::neighbours::wire;
use crate::core::neighbours::wire::AttemptResult;
use crate::core::quarantine;
use crate::util::body::ResponseBody;
use crate::util::http_server;
use crate::util::http_server::ConnectionLimits;
use crate::util::http_server::Handler;
use crate::util::http_server::HttpServer;
use crate::util::logline::Line;

/// Maximum size of a request head, in bytes; the caller's headers are in the body.
const MAX_HEADER_BYTES: usize = 8 << 10;

/// Size that the encoded head of a call may add to the body of the caller's request, in bytes.
const MAX_CALL_HEAD_BYTES: usize = 256 << 10;

struct ForwardedHandler<E> {
    entry: Rc<Entry>,
    protocol: Rc<E>,
}

/// Starts listening on `listen` for calls that other entry boxes forward to endpoints that speak
/// `protocol`.
///
/// # Errors
///
/// If the address can't be bound.
pub fn bind<E: EndpointProtocol>(
    entry: Rc<Entry>,
    protocol: Rc<E>,
    listen: SocketAddr,
) -> io::Result<HttpServer> {
    let timers = entry.timers.clone();
    http_server::bind(listen, timers, Rc::new(ForwardedHandler { entry, protocol }))
}

impl<E: EndpointProtocol> Handler for ForwardedHandler<E> {
    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let id = req.headers().get(REQUEST_ID).cloned();
        let mut response = self.respond(req).await;
        if let Some(id) = id
            && !AttemptResult::Answer.is_of(&response)
        {
            response.headers_mut().insert(REQUEST_ID, id);
        }
        response
    }

    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::for_internal_calls(MAX_HEADER_BYTES)
    }
}

impl<E: EndpointProtocol> ForwardedHandler<E> {
    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let entry = &self.entry;
        let path = req.uri().path().to_owned();
        if entry.phase() == Phase::Finishing {
            return AttemptResult::Unreachable.into_response(Bytes::new());
        }
        let max_bytes = entry.caller_limits().body_bytes + MAX_CALL_HEAD_BYTES;
        let body = native::read_body(entry, req.into_body(), max_bytes).await;
        if let (Ok(body), probe::PATH) = (&body, &*path) {
            return probe::answer(entry, body.clone()).await;
        }
        if let (Ok(body), origins::PATH) = (&body, &*path) {
            return origins::answer(entry, body.clone());
        }
        let Some((request, limits)) = body.ok().and_then(|body| wire::decode(entry, body)) else {
            Line::new("forwarded_call_unreadable").warn();
            return AttemptResult::Refused.into_response(Bytes::new());
        };
        entry.metrics.forwarded.with_label_values(&[&request.service_name, "taken"]).inc();
        let protocol = Rc::clone(&self.protocol);
        let copy = request.clone();
        let result = call::call(Rc::clone(entry), protocol, request, limits).await;
        let is_cut_off = entry.paths.is_cut_off(copy.service);
        wire::response(result, is_cut_off, || quarantine::cases_of(entry, &copy))
    }
}

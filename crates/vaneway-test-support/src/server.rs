//! A minimal HTTP server and client for stand-ins.

use std::fmt;
use std::net::TcpListener;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::Value;
use vaneway_server::core::callers::answer::json_response;
use vaneway_server::util::body::ResponseBody;
use vaneway_server::util::socket;
use vaneway_server::util::socket::SocketListener;

/// Extension of a response in place of which the connection breaks.
#[derive(Debug, Clone, Copy)]
pub struct BreakConnection;

/// Error of a request whose connection breaks.
#[derive(Debug)]
struct ConnectionBroken;

impl fmt::Display for ConnectionBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in broke the connection")
    }
}

impl std::error::Error for ConnectionBroken {}

/// Serves every request with `handler` until dropped.
///
/// # Panics
///
/// If the socket can't be used.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let listener = SocketListener::from_std(listener).expect("a listening socket");
    let handler = Rc::new(handler);
    loop {
        // Tests close connections early on purpose.
        let Ok(io) = listener.accept().await else { continue };
        let handler = Rc::clone(&handler);
        let service = service_fn(move |req| {
            let response = handler(req);
            async move {
                let response = response.await;
                let breaks = response.extensions().get::<BreakConnection>().is_some();
                if breaks { Err(ConnectionBroken) } else { Ok(response) }
            }
        });
        compio::runtime::spawn(async move {
            // Tests break connections on purpose.
            let _broken = http1::Builder::new().serve_connection(io, service).await;
        })
        .detach();
    }
}

/// A JSON response.
pub fn json(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    json_response(status, Bytes::from(value.to_string()))
}

/// Reads a complete body; empty if it is truncated.
pub async fn read(body: Incoming) -> Bytes {
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}

/// The value of a numeric query parameter; none if it is missing or not a number.
pub fn parameter(req: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}

/// Fetches JSON from another stand-in over a new connection; none if the request fails.
pub async fn get_json(addr: std::net::SocketAddr, path: &str) -> Option<Value> {
    let stream = socket::connect(addr).await.ok()?;
    let (mut tx, connection) = client::handshake::<_, Full<Bytes>>(stream).await.ok()?;
    compio::runtime::spawn(async move {
        let _broken = connection.await;
    })
    .detach();
    let req = Request::builder().method(Method::GET).uri(path).body(Full::default()).ok()?;
    let response = tx.send_request(req).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    serde_json::from_slice(&response.into_body().collect().await.ok()?.to_bytes()).ok()
}

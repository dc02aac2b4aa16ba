//! A small HTTP server for stand-ins.

use std::convert::Infallible;
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

/// Answers every request with `handler` until dropped.
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
        // A caller that is gone already is part of the tests.
        let Ok(io) = listener.accept().await else { continue };
        let handler = Rc::clone(&handler);
        let service = service_fn(move |req| {
            let answer = handler(req);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        compio::runtime::spawn(async move {
            // A connection that breaks is part of the tests.
            let _broken = http1::Builder::new().serve_connection(io, service).await;
        })
        .detach();
    }
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    json_response(status, Bytes::from(value.to_string()))
}

/// Reads a body whole; empty if it broke off.
pub async fn read(body: Incoming) -> Bytes {
    body.collect().await.map(http_body_util::Collected::to_bytes).unwrap_or_default()
}

/// The value of a parameter in the request's query.
pub fn parameter(req: &Request<Incoming>, name: &str) -> Option<u64> {
    let pairs = req.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
}

/// Gets JSON from another stand-in on a connection of its own.
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

//! A stand-in for the weight store, whose read rate is limited.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use vaneway_server::util::body::ResponseBody;

use crate::server;
use crate::standin::Standin;

/// A running weight store. `GET /v1/weights/NAME` responds once the weights have been read at the
/// store's rate; requests are served one after the other.
#[derive(Debug)]
pub struct WeightStore {
    standin: Standin,
}

impl WeightStore {
    /// Starts a store in which reading the weights of any model takes `read_time`.
    pub fn spawn(read_time: Duration) -> Self {
        let free_at = Arc::new(Mutex::new(Instant::now()));
        let standin = Standin::spawn("weight-store", move |listener| {
            server::serve(listener, move |req| handle(Arc::clone(&free_at), read_time, req))
        });
        Self { standin }
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }
}

async fn handle(
    free_at: Arc<Mutex<Instant>>,
    read_time: Duration,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(name) = req.uri().path().strip_prefix("/v1/weights/").map(str::to_owned) else {
        return server::json(StatusCode::NOT_FOUND, &json!({ "error": "unknown_path" }));
    };
    let done_at = {
        let mut free_at = free_at.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + read_time;
        *free_at
    };
    compio::time::sleep_until(done_at).await;
    server::json(StatusCode::OK, &json!({ "weights": name }))
}

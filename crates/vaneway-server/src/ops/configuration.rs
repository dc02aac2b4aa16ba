//! `vanectl apply` and `vanectl config`: applies a configuration, and reads the newest one.
//!
//! Both call a control box over HTTP and follow its redirect to the leader.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use eyre::bail;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::HOST;
use hyper::header::LOCATION;
use serde_json::Value;

use crate::core::endpoints::upstream::ConnectionPool;
use crate::ops::client::Target;
use crate::util::clock;
use crate::util::timers::Timers;

/// Path of the configuration resource.
const CONFIGURATION_PATH: &str = "/v1/configuration";

/// Maximum number of control boxes queried, including redirects.
const MAX_HOPS: usize = 3;

/// Maximum time for one call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Applies the configuration in the file at `path` and returns a one-line summary.
///
/// # Errors
///
/// If the file can't be read, no control box accepts the configuration, or it has findings; the
/// error lists all of them.
pub async fn apply(target: &Target, path: &Path) -> eyre::Result<String> {
    let context = || format!("failed to read `{}`", path.display());
    let document = std::fs::read(path).wrap_err_with(context)?;
    let (status, body) = call(target.address, Method::PUT, document.into()).await?;
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    if status.is_success() {
        return Ok(format!("version {} is accepted\n", answer["accepted"]));
    }
    let findings = answer["findings"].as_array().cloned().unwrap_or_default();
    let findings: Vec<&str> = findings.iter().filter_map(Value::as_str).collect();
    let error = answer["error"].as_str().unwrap_or("no reason given");
    bail!("the control box answered {status}: {error}\n  {}", findings.join("\n  "))
}

/// Returns the newest configuration as indented JSON.
///
/// # Errors
///
/// If no control box can serve it now.
pub async fn config(target: &Target) -> eyre::Result<String> {
    let (status, body) = call(target.address, Method::GET, Bytes::new()).await?;
    let answer: Value = serde_json::from_slice(&body).wrap_err("failed to parse the response")?;
    if !status.is_success() {
        bail!("the control box answered {status}: {}", answer["error"]);
    }
    Ok(format!("{answer:#}\n"))
}

/// Calls a control box and follows redirects to the leader.
async fn call(
    address: SocketAddr,
    method: Method,
    body: Bytes,
) -> eyre::Result<(StatusCode, Bytes)> {
    let timers = Timers::spawn();
    let connections = ConnectionPool::default();
    let mut address = address;
    for _ in 0..MAX_HOPS {
        let req = Request::builder()
            .method(method.clone())
            .uri(CONFIGURATION_PATH)
            .header(HOST, address.to_string())
            .body(Full::new(body.clone()))
            .wrap_err("failed to build the request")?;
        let deadline = clock::now() + RESPONSE_TIMEOUT;
        let (head, body) = connections
            .exchange_head(&timers, address, req, MAX_RESPONSE_BYTES, deadline)
            .await
            .wrap_err_with(|| format!("failed to reach the control box at {address}"))?;
        if head.status != StatusCode::TEMPORARY_REDIRECT {
            return Ok((head.status, body));
        }
        let leader = head.headers.get(LOCATION).and_then(|value| value.to_str().ok());
        let leader = leader.and_then(|url| url.strip_prefix("http://")?.split('/').next());
        address = leader
            .and_then(|leader| leader.parse().ok())
            .ok_or_else(|| eyre::eyre!("redirect from {address} has no valid leader address"))?;
    }
    bail!("the control boxes redirect to each other, try again once a leader is elected")
}

//! A call that may not be repeated and carries an `Idempotency-Key`.
//!
//! Data flow: the key is claimed durably before anything is sent. The call then runs in a task of
//! its own, so that its outcome becomes known even if the caller disconnects. The response is
//! stored before it is sent to the caller (a stream: while it is sent), and a repeated call gets
//! the stored response.

use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use bytes::Bytes;
use futures_channel::oneshot;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use sha2::Digest as _;
use sha2::Sha256;
use vaneway_claims::ClaimKey;
use vaneway_claims::Digest;
use vaneway_claims::Reply;
use vaneway_claims::StoredResponse;
use vaneway_relay::RunState;

use crate::core::callers::api_error::ApiError;
use crate::core::callers::api_error::RUN_HEADER;
use crate::core::calls::claims::ClaimOutcome;
use crate::core::calls::claims::Claims;
use crate::core::entry::Entry;
use crate::util::body::ResponseBody;
use crate::util::logline::Line;
use crate::util::outbox::Outbox;
use crate::util::outbox::OutboxBody;
use crate::util::outbox::outbox_within;

/// Digest of method, path and body, by which two requests count as the same.
pub fn digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Runs `call` if the key can be claimed; otherwise returns the response to the first call.
///
/// # Errors
///
/// An [`ApiError`] if the call was not run, or if its outcome is unknown.
pub async fn call(
    entry: Rc<Entry>,
    key: ClaimKey,
    digest: Digest,
    call: impl Future<Output = Response<ResponseBody>> + 'static,
) -> Result<Response<ResponseBody>, ApiError> {
    let Some(claims) = entry.claims.clone() else { return Err(no_ledger(&entry)) };
    let closed = |closed: crate::core::calls::claims::LedgerClosed| {
        ApiError::temporarily_refused("claims_unavailable", closed.to_string())
    };
    match claims.claim(&key, digest).await.map_err(closed)? {
        Reply::Granted => Ok(run(entry, claims, key, call).await),
        Reply::Answered(response) => Ok(replay(response)),
        Reply::OtherRequest => {
            let message = "this `Idempotency-Key` was used for another request, use a new one";
            Err(ApiError::rejected(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message))
        }
        Reply::Unknown | Reply::Running | Reply::Applied => Err(outcome_unknown()),
    }
}

/// The error for keyed calls if this box has no claim ledger.
fn no_ledger(entry: &Entry) -> ApiError {
    let message = if entry.settings.peers.is_empty() {
        "calls with `Idempotency-Key` that may not be repeated need a `data_folder` in the settings"
    } else {
        "calls with `Idempotency-Key` that may not be repeated are not supported yet in a \
         deployment with several entry boxes"
    };
    ApiError::rejected(StatusCode::SERVICE_UNAVAILABLE, "claims_unavailable", message)
}

fn outcome_unknown() -> ApiError {
    let message = "the first call with this key was sent and its response was lost; check whether \
                   it took effect before sending another with a new key";
    let mut error = ApiError::rejected(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
    error.run = RunState::Unknown;
    error
}

async fn run(
    entry: Rc<Entry>,
    claims: Claims,
    key: ClaimKey,
    call: impl Future<Output = Response<ResponseBody>> + 'static,
) -> Response<ResponseBody> {
    let (tx, rx) = oneshot::channel();
    compio::runtime::spawn(async move {
        let response = call.await;
        store_response(&entry, &claims, key, response, tx).await;
    })
    .detach();
    rx.await.unwrap_or_else(|_task_ended| outcome_unknown().into_response())
}

/// Stores the response and sends it to the caller.
async fn store_response(
    entry: &Entry,
    claims: &Claims,
    key: ClaimKey,
    response: Response<ResponseBody>,
    reply: oneshot::Sender<Response<ResponseBody>>,
) {
    let run = response.headers().get(RUN_HEADER).cloned();
    let run = run.and_then(|run| run.to_str().ok().map(str::to_owned));
    let (head, body) = response.into_parts();
    let kind = head.headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    let content_type = kind.map(str::to_owned);
    let status = head.status.as_u16();
    let store = |body| ClaimOutcome::Answered(StoredResponse { status, content_type, body });
    match body {
        ResponseBody::Full(full) => {
            let body = full.collect().await.map(http_body_util::Collected::to_bytes);
            let body = body.unwrap_or_else(|never| match never {});
            let outcome = match run.as_deref() {
                Some("not_run") => ClaimOutcome::NotRun,
                Some("unknown") => ClaimOutcome::Unknown,
                _ => store(Some(body.to_vec())),
            };
            finish_claim(claims, key, outcome).await;
            // The caller may have disconnected; a repeated call gets the stored response.
            let _gone = reply.send(Response::from_parts(head, ResponseBody::full(body)));
        }
        ResponseBody::Streamed(streamed) => {
            let limits = &entry.settings.limits;
            let (tx, rx) = outbox_within(&entry.connections.bounds().queue);
            let _gone = reply.send(Response::from_parts(head, ResponseBody::Streamed(rx)));
            let outcome = match copy_body(streamed, &tx, limits.answer_bytes).await {
                CopyResult::Complete(body) => store(Some(body)),
                CopyResult::TooLong => store(None),
                CopyResult::Truncated => ClaimOutcome::Unknown,
            };
            let is_complete = outcome != ClaimOutcome::Unknown;
            finish_claim(claims, key, outcome).await;
            if is_complete {
                tx.finish();
            }
        }
    }
}

async fn finish_claim(claims: &Claims, key: ClaimKey, outcome: ClaimOutcome) {
    if let Err(closed) = claims.finish(key, outcome).await {
        Line::new("answer_not_kept").with("error", closed).error();
    }
}

/// Result of copying a body.
#[derive(Debug, Clone, PartialEq, Eq)]
enum CopyResult {
    /// The body ended properly, and these are its bytes.
    Complete(Vec<u8>),
    /// The body ended properly but is too long to be stored.
    TooLong,
    /// The body was truncated.
    Truncated,
}

/// Copies a body to the caller at the speed of the caller and, once the caller has disconnected, to
/// its end. Also returns the bytes unless there are more than `limit`.
async fn copy_body(mut from: OutboxBody, to: &Outbox, limit: usize) -> CopyResult {
    let mut stored = Some(Vec::new());
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut from).poll_frame(cx)).await {
        let Ok(frame) = frame else { return CopyResult::Truncated };
        let data: Bytes = frame.into_data().unwrap_or_default();
        to.push(&data);
        if let Some(bytes) = &mut stored {
            bytes.extend_from_slice(&data);
        }
        stored = stored.filter(|bytes| bytes.len() <= limit);
        poll_fn(|cx| match to.poll_closed(cx) {
            Poll::Ready(()) => Poll::Ready(()),
            Poll::Pending => to.poll_capacity(cx),
        })
        .await;
    }
    stored.map_or(CopyResult::TooLong, CopyResult::Complete)
}

/// The response to a repeated call.
fn replay(stored: StoredResponse) -> Response<ResponseBody> {
    let Some(body) = stored.body else {
        let message = "the call ran, but its response was too long to be stored";
        let mut error = ApiError::rejected(StatusCode::CONFLICT, "answer_not_kept", message);
        error.run = RunState::Ran;
        return error.into_response();
    };
    let mut response = Response::new(ResponseBody::full(body.into()));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, HeaderValue::from_static(RunState::Ran.name()));
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    if let Some(kind) = stored.content_type.and_then(|kind| kind.parse().ok()) {
        headers.insert(CONTENT_TYPE, kind);
    }
    response
}

//! A call that may not be repeated and carries an `Idempotency-Key`.
//!
//! Data flow: the key is claimed, durably, before anything is sent. The call then runs in a task
//! of its own, so that a caller that goes away does not leave its outcome unknown. The answer is
//! kept before the caller gets it (a stream: while the caller gets it), and a repeat gets what
//! was kept.

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
use crate::core::calls::claims::ClaimEnd;
use crate::core::calls::claims::Claims;
use crate::core::entry::Entry;
use crate::util::body::ResponseBody;
use crate::util::logline::Line;
use crate::util::outbox::Outbox;
use crate::util::outbox::OutboxBody;
use crate::util::outbox::outbox;

/// Digest of what makes two requests the same.
pub fn digest(method: &str, path: &str, body: &[u8]) -> Digest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Runs `call` if the key can be claimed; otherwise answers as the first call was answered.
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
    let Some(claims) = entry.claims.clone() else { return Err(unavailable(&entry)) };
    let closed = |closed: crate::core::calls::claims::Closed| {
        ApiError::not_now("claims_unavailable", closed.to_string())
    };
    match claims.claim(&key, digest).await.map_err(closed)? {
        Reply::Granted => Ok(run(entry, claims, key, call).await),
        Reply::Answered(answer) => Ok(replay(answer)),
        Reply::OtherRequest => {
            let message = "this `Idempotency-Key` was used for another request, use a new one";
            Err(ApiError::rejected(StatusCode::UNPROCESSABLE_ENTITY, "key_reused", message))
        }
        Reply::Unknown | Reply::Running | Reply::Applied => Err(unknown()),
    }
}

/// Refuses keyed calls where claims can't be kept.
fn unavailable(entry: &Entry) -> ApiError {
    let message = if entry.settings.peers.is_empty() {
        "calls with `Idempotency-Key` that may not be repeated need a `data_folder` in the settings"
    } else {
        "calls with `Idempotency-Key` that may not be repeated are not served by a deployment of \
         several entry boxes yet"
    };
    ApiError::rejected(StatusCode::SERVICE_UNAVAILABLE, "claims_unavailable", message)
}

fn unknown() -> ApiError {
    let message = "the first call with this key was sent and its answer was lost; find out whether \
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
        keep(&entry, &claims, key, response, tx).await;
    })
    .detach();
    rx.await.unwrap_or_else(|_task_ended| unknown().into_response())
}

/// Keeps the answer and gives it to the caller.
async fn keep(
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
    let answered = |body| ClaimEnd::Answered(StoredResponse { status, content_type, body });
    match body {
        ResponseBody::Full(full) => {
            let body = full.collect().await.map(http_body_util::Collected::to_bytes);
            let body = body.unwrap_or_else(|never| match never {});
            let end = match run.as_deref() {
                Some("not_run") => ClaimEnd::NotRun,
                Some("unknown") => ClaimEnd::Unknown,
                _ => answered(Some(body.to_vec())),
            };
            end_claim(claims, key, end).await;
            // The caller may be gone; a repeat finds what was kept.
            let _gone = reply.send(Response::from_parts(head, ResponseBody::full(body)));
        }
        ResponseBody::Streamed(fed) => {
            let limits = &entry.settings.limits;
            let (tx, rx) = outbox(limits.stream_bytes);
            let _gone = reply.send(Response::from_parts(head, ResponseBody::Streamed(rx)));
            let end = match copy(fed, &tx, limits.answer_bytes).await {
                Copied::Kept(body) => answered(Some(body)),
                Copied::TooLong => answered(None),
                Copied::CutOff => ClaimEnd::Unknown,
            };
            let whole = end != ClaimEnd::Unknown;
            end_claim(claims, key, end).await;
            if whole {
                tx.finish();
            }
        }
    }
}

async fn end_claim(claims: &Claims, key: ClaimKey, end: ClaimEnd) {
    if let Err(closed) = claims.end(key, end).await {
        Line::new("answer_not_kept").with("error", closed).error();
    }
}

/// What became of a body that was copied.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Copied {
    /// It ended as it should, and these are its bytes.
    Kept(Vec<u8>),
    /// It ended as it should and was too long to be kept.
    TooLong,
    /// It broke off.
    CutOff,
}

/// Copies a body to the caller, as fast as the caller takes it and, once the caller is gone, to
/// the end. Keeps its bytes unless they are more than `limit`.
async fn copy(mut from: OutboxBody, to: &Outbox, limit: usize) -> Copied {
    let mut kept = Some(Vec::new());
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut from).poll_frame(cx)).await {
        let Ok(frame) = frame else { return Copied::CutOff };
        let data: Bytes = frame.into_data().unwrap_or_default();
        to.push(&data);
        if let Some(bytes) = &mut kept {
            bytes.extend_from_slice(&data);
        }
        kept = kept.filter(|bytes| bytes.len() <= limit);
        poll_fn(|cx| match to.poll_closed(cx) {
            Poll::Ready(()) => Poll::Ready(()),
            Poll::Pending => to.poll_capacity(cx),
        })
        .await;
    }
    kept.map_or(Copied::TooLong, Copied::Kept)
}

/// The answer that a repeat gets.
fn replay(answer: StoredResponse) -> Response<ResponseBody> {
    let Some(body) = answer.body else {
        let message = "the call ran; its answer was too long to be kept";
        let mut error = ApiError::rejected(StatusCode::CONFLICT, "answer_not_kept", message);
        error.run = RunState::Ran;
        return error.into_response();
    };
    let mut response = Response::new(ResponseBody::full(body.into()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    headers.insert(RUN_HEADER, HeaderValue::from_static(RunState::Ran.name()));
    headers.insert("idempotency-replayed", HeaderValue::from_static("true"));
    if let Some(kind) = answer.content_type.and_then(|kind| kind.parse().ok()) {
        headers.insert(CONTENT_TYPE, kind);
    }
    response
}

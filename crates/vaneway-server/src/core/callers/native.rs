//! The product's own HTTP API for callers: paths, authentication and admission.
//!
//! Every request gets one [`Response`]. Every refusal is an [`ApiError`], returned before any part
//! of the request is sent to an endpoint.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::header::HeaderMap;
use serde_json::json;
use vaneway_claims::ClaimKey;
use vaneway_claims::Digest;
use vaneway_relay::AnswerForm;
use vaneway_relay::WaitPolicy;

use crate::core::callers::answer::Interface;
use crate::core::callers::answer::json_response;
use crate::core::callers::api_error::ApiError;
use crate::core::callers::protocol::CallerProtocol;
use crate::core::calls::call;
use crate::core::calls::call_limits::CallLimits;
use crate::core::calls::keyed_call;
use crate::core::calls::model_call;
use crate::core::calls::model_request;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::PlainEndpoints;
use crate::core::entry::Entry;
use crate::core::entry::Phase;
use crate::core::settings::Organisation;
use crate::core::settings::ServiceKind;
use crate::util::body::ResponseBody;
use crate::util::clock;

/// Prefix of the paths to plain services.
const SERVICES_PREFIX: &str = "/services/";

/// The product's own HTTP API for callers.
#[derive(Debug, Clone, Copy)]
pub struct NativeCallers;

impl CallerProtocol for NativeCallers {
    async fn serve(&self, entry: Rc<Entry>, req: Request<Incoming>) -> Response<ResponseBody> {
        match route(&entry, req).await {
            Ok(response) => response,
            Err(error) => {
                entry.metrics.refused.with_label_values(&[error.code]).inc();
                error.into_response()
            }
        }
    }
}

async fn route(
    entry: &Rc<Entry>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, ApiError> {
    let path = req.uri().path();
    match (req.method(), path) {
        (&Method::GET, "/healthz") => Ok(text(StatusCode::OK, "ok\n")),
        (&Method::GET, "/readyz") => Ok(readiness(entry)),
        (&Method::GET, "/v1/models") => {
            organisation(entry, req.headers())?;
            Ok(models(entry))
        }
        (&Method::POST, "/v1/chat/completions") => model(entry, req, Interface::Chat).await,
        (&Method::POST, "/v1/completions") => model(entry, req, Interface::Text).await,
        (_, path) if path.starts_with(SERVICES_PREFIX) => plain(entry, req).await,
        (method, path) => {
            let is_known = ["/healthz", "/readyz", "/v1/models"].contains(&path)
                || [Interface::Chat.path(), Interface::Text.path()].contains(&path);
            Err(if is_known {
                let message = format!("{path} does not support {method}");
                ApiError::rejected(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message)
            } else {
                let message = format!("unknown path {path}");
                ApiError::rejected(StatusCode::NOT_FOUND, "unknown_path", message)
            })
        }
    }
}

fn text(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

fn readiness(entry: &Entry) -> Response<ResponseBody> {
    match entry.phase() {
        Phase::Serving => text(StatusCode::OK, "ready\n"),
        Phase::Unready | Phase::Finishing => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    }
}

fn models(entry: &Entry) -> Response<ResponseBody> {
    let services = entry.settings.services.iter();
    let data: Vec<_> = services
        .flat_map(|service| service.models.iter().map(move |model| (service, model)))
        .map(|(service, model)| json!({ "id": model, "object": "model", "owned_by": service.name }))
        .collect();
    let list = json!({ "object": "list", "data": data });
    json_response(StatusCode::OK, Bytes::from(list.to_string()))
}

/// Finds the organisation by the token in the request.
fn organisation<'a>(entry: &'a Entry, headers: &HeaderMap) -> Result<&'a Organisation, ApiError> {
    let token = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    token.and_then(|token| entry.settings.organisation_of(token.trim())).ok_or_else(|| {
        let message = "send `Authorization: Bearer` with the token of a known organisation";
        ApiError::rejected(StatusCode::UNAUTHORIZED, "unauthorized", message)
    })
}

/// Refuses new requests while this box is stopping or has too many open requests.
pub(super) fn admit(entry: &Entry) -> Result<(), ApiError> {
    if entry.phase() == Phase::Finishing {
        return Err(ApiError::temporarily_refused(
            "stopping",
            "this entry box is stopping; use another one",
        ));
    }
    if entry.open.len() >= entry.settings.limits.open_requests {
        return Err(ApiError::temporarily_refused(
            "overloaded",
            "this entry box has too many open requests; retry later",
        ));
    }
    Ok(())
}

/// Reads a complete body within the limits of size and time.
pub(crate) async fn read_body(
    entry: &Entry,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, ApiError> {
    let limits = &entry.settings.limits;
    let too_large = || {
        let message = format!("the body is larger than {max_bytes} bytes");
        ApiError::rejected(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
    };
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_large());
    }
    let until = clock::now() + limits.caller_stall_timeout;
    let body = Limited::new(body, max_bytes).collect();
    match entry.timers.timeout_at(until, body).await {
        // Copied, since the original is a slice of the connection's read buffer and would keep that
        // alive for as long as the request is open.
        Some(Ok(body)) => Ok(Bytes::copy_from_slice(&body.to_bytes())),
        Some(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Some(Err(_)) => Err(ApiError::bad_request("the body is incomplete or malformed")),
        None => {
            let message = "the body did not arrive in time";
            Err(ApiError::rejected(StatusCode::REQUEST_TIMEOUT, "slow_body", message))
        }
    }
}

async fn model(
    entry: &Rc<Entry>,
    req: Request<Incoming>,
    interface: Interface,
) -> Result<Response<ResponseBody>, ApiError> {
    let organisation = organisation(entry, req.headers())?;
    admit(entry)?;
    let key = idempotency_key(req.headers())?;
    let body = read_body(entry, req.into_body(), entry.settings.limits.body_bytes).await?;
    let request = model_request::read(entry, interface, body.clone())?;
    let service = &entry.settings.services[request.service];
    let non_repeatable = service.is_non_repeatable("POST", interface.path());
    let claim = key.filter(|_| non_repeatable).map(|key| {
        let digest = keyed_call::digest("POST", interface.path(), &body);
        (ClaimKey { organisation: organisation.name.clone(), key }, digest)
    });
    // The request holds the body to send to engines; the caller's body is no longer needed.
    drop(body);
    let call = model_call::call(Rc::clone(entry), organisation.clone(), request, !non_repeatable);
    at_most_once(entry, claim, call).await
}

async fn plain(
    entry: &Rc<Entry>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, ApiError> {
    let organisation = organisation(entry, req.headers())?;
    admit(entry)?;
    let key = idempotency_key(req.headers())?;
    let full_path = req.uri().path_and_query().map_or("", |path| path.as_str());
    let name_and_path = full_path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, path) = match name_and_path.find(['/', '?']) {
        Some(at) => name_and_path.split_at(at),
        None => (name_and_path, "/"),
    };
    let digested_path = full_path.to_owned();
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    let service = entry.settings.service_named(name);
    let service = service.filter(|id| entry.settings.services[*id].kind == ServiceKind::Plain);
    let service = service.ok_or_else(|| {
        let message = format!("there is no plain service `{name}`");
        ApiError::rejected(StatusCode::NOT_FOUND, "unknown_service", message)
    })?;
    let (head, body) = req.into_parts();
    let settings = &entry.settings.services[service];
    let non_repeatable = settings.is_non_repeatable(head.method.as_str(), &path);
    let body = read_body(entry, body, entry.settings.limits.body_bytes).await?;
    let claim = key.filter(|_| non_repeatable).map(|key| {
        let digest = keyed_call::digest(head.method.as_str(), &digested_path, &body);
        (ClaimKey { organisation: organisation.name.clone(), key }, digest)
    });
    let limits = CallLimits {
        max_attempts: settings.max_attempts,
        deadline: clock::now() + settings.deadline,
        wait_policy: WaitPolicy::AtMost(settings.endpoint_wait_timeout),
        head_timeout: settings.stall_timeout,
        gap_timeout: settings.stall_timeout,
    };
    let request = CallRequest {
        id: entry.next_request_id(),
        service: service as u32,
        service_name: settings.name.clone(),
        organisation: organisation.name.clone(),
        addressed_to: settings.name.clone(),
        method: head.method,
        path,
        headers: head.headers,
        body,
        form: AnswerForm::Buffered,
        repeatable: !non_repeatable,
        priority: None,
        work: None,
        prefix: 0,
        resume_after: None,
        software: None,
        stream: None,
        is_forwarded: false,
    };
    let protocol = Rc::new(PlainEndpoints { not_run_header: settings.not_run_header.clone() });
    let call = call::call(Rc::clone(entry), protocol, request, limits);
    let call = async { call.await.unwrap_or_else(ApiError::into_response) };
    at_most_once(entry, claim, call).await
}

/// Runs a call, after claiming its key if it has one.
async fn at_most_once(
    entry: &Rc<Entry>,
    claim: Option<(ClaimKey, Digest)>,
    call: impl Future<Output = Response<ResponseBody>> + 'static,
) -> Result<Response<ResponseBody>, ApiError> {
    match claim {
        Some((key, digest)) => keyed_call::call(Rc::clone(entry), key, digest, call).await,
        None => Ok(call.await),
    }
}

/// The `Idempotency-Key` header, if the caller sent one.
fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    /// Maximum length of a key in bytes, as in other APIs of this kind.
    const MAX_KEY_BYTES: usize = 255;
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let message = format!("`Idempotency-Key` must be 1 to {MAX_KEY_BYTES} visible characters");
    key.map(|key| Some(key.to_owned())).ok_or_else(|| ApiError::bad_request(message))
}

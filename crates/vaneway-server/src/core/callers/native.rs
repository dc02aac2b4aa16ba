//! The product's own interface for callers: paths, organisations and admission.
//!
//! Every path ends in one [`Response`]; every refusal is an [`ApiError`], made before anything of
//! the request was sent to an endpoint.

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
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::protocol::PlainEndpoints;
use crate::core::entry::Entry;
use crate::core::entry::Phase;
use crate::core::settings::Organisation;
use crate::core::settings::ServiceKind;
use crate::util::body::ResponseBody;
use crate::util::clock;

/// Where paths to plain services begin.
const SERVICES: &str = "/services/";

/// The product's own interface for callers.
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
        (_, path) if path.starts_with(SERVICES) => plain(entry, req).await,
        (method, path) => {
            let known = ["/healthz", "/readyz", "/v1/models"].contains(&path)
                || [Interface::Chat.path(), Interface::Text.path()].contains(&path);
            Err(if known {
                let message = format!("{path} does not take {method}");
                ApiError::rejected(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", message)
            } else {
                let message = format!("there is nothing at {path}");
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

/// Finds the organisation whose token the request carries.
fn organisation<'a>(entry: &'a Entry, headers: &HeaderMap) -> Result<&'a Organisation, ApiError> {
    let token = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    token.and_then(|token| entry.settings.organisation_of(token.trim())).ok_or_else(|| {
        let message = "send `Authorization: Bearer` with the token of a known organisation";
        ApiError::rejected(StatusCode::UNAUTHORIZED, "unauthorized", message)
    })
}

/// Refuses new work while the entry stops or is full.
pub(super) fn admit(entry: &Entry) -> Result<(), ApiError> {
    if entry.phase() == Phase::Finishing {
        return Err(ApiError::not_now("stopping", "this entry box is stopping, use another"));
    }
    if entry.open.len() >= entry.settings.limits.open_requests {
        return Err(ApiError::not_now("overloaded", "this entry box has too many open requests"));
    }
    Ok(())
}

/// Reads a body whole, within the limits of size and time.
pub(super) async fn read_body(
    entry: &Entry,
    body: Incoming,
    most: usize,
) -> Result<Bytes, ApiError> {
    let limits = &entry.settings.limits;
    let too_large = || {
        let message = format!("the body is larger than {most} bytes");
        ApiError::rejected(StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
    };
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let until = clock::now() + limits.caller_stall_timeout;
    let body = Limited::new(body, most).collect();
    match entry.timers.timeout_at(until, body).await {
        // A copy: the original is a slice of the connection's read buffer, which it would keep
        // alive for as long as the request is open.
        Some(Ok(body)) => Ok(Bytes::copy_from_slice(&body.to_bytes())),
        Some(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Some(Err(_)) => Err(ApiError::bad_request("the body broke off")),
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
    let key = key(req.headers())?;
    let body = read_body(entry, req.into_body(), entry.settings.limits.body_bytes).await?;
    let request = model_call::read(entry, interface, body.clone())?;
    let service = &entry.settings.services[request.service];
    let non_repeatable = service.is_non_repeatable("POST", interface.path());
    let claim = key.filter(|_| non_repeatable).map(|key| {
        let digest = keyed_call::digest("POST", interface.path(), &body);
        (ClaimKey { organisation: organisation.name.clone(), key }, digest)
    });
    // The request holds what engines get of it; the caller's form is needed no longer.
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
    let key = key(req.headers())?;
    let whole = req.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = whole.strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = match rest.find(['/', '?']) {
        Some(at) => rest.split_at(at),
        None => (rest, "/"),
    };
    let whole_path = whole.to_owned();
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
        let digest = keyed_call::digest(head.method.as_str(), &whole_path, &body);
        (ClaimKey { organisation: organisation.name.clone(), key }, digest)
    });
    let limits = CallLimits {
        max_attempts: settings.max_attempts,
        deadline: clock::now() + settings.deadline,
        wait_policy: WaitPolicy::AtMost(settings.endpoint_wait_timeout),
        head_within: settings.stall_timeout,
        pause_within: settings.stall_timeout,
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
    };
    let protocol = Rc::new(PlainEndpoints { not_run_header: settings.not_run_header.clone() });
    let call = call::call(Rc::clone(entry), protocol, request, limits);
    let call = async { call.await.unwrap_or_else(ApiError::into_response) };
    at_most_once(entry, claim, call).await
}

/// Runs a call, under a claim if it needs one.
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

/// The `Idempotency-Key`, if the caller sent one.
fn key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    /// Longest key, as other interfaces of this kind allow it.
    const KEY_BYTES_MOST: usize = 255;
    let Some(value) = headers.get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| !key.is_empty() && key.len() <= KEY_BYTES_MOST);
    let message = format!("`Idempotency-Key` must be 1 to {KEY_BYTES_MOST} visible characters");
    key.map(|key| Some(key.to_owned())).ok_or_else(|| ApiError::bad_request(message))
}

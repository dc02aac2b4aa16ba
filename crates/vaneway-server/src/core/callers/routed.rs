//! Requests that are routed by the deployment's configuration.
//!
//! Data flow: host, path and key are taken from the head; the configuration in force at this box
//! determines the route and the organisation; the body is read; the organisation's quota is
//! charged; then the request is handled as a [`CallRequest`]. The error for a request that is
//! refused before that says that the request was not run, and when to retry.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use vaneway_origins::Origin;
use vaneway_origins::StreamKey;
use vaneway_relay::AnswerForm;
use vaneway_relay::RunState;
use vaneway_relay::WaitPolicy;

use crate::core::callers::api_error::ApiError;
use crate::core::callers::caller_wait::CallerWait;
use crate::core::callers::native;
use crate::core::callers::protocol::CallerHead;
use crate::core::callers::protocol::CallerProtocol;
use crate::core::callers::protocol::RoutedProtocol;
use crate::core::callers::protocol::Work;
use crate::core::calls::call;
use crate::core::calls::call_limits::CallLimits;
use crate::core::configuration::OrganisationSpec;
use crate::core::configuration::QuotaUnit;
use crate::core::configuration::RequestKind;
use crate::core::configuration::Route;
use crate::core::endpoints::protocol::CallRequest;
use crate::core::endpoints::registered;
use crate::core::entry::Entry;
use crate::core::neighbours::server;
use crate::core::quarantine;
use crate::core::route_table::RouteTable;
use crate::core::stream_origins;
use crate::core::stream_origins::KnownBy;
use crate::core::stream_origins::Unknown;
use crate::util::body::ResponseBody;
use crate::util::clock;
use crate::util::hash;
use crate::util::http_server::HttpServer;
use crate::util::logline::Line;

/// Range of the random factor applied to the retry delay of a refused caller, so that callers
/// refused at the same time don't retry at the same time.
const RETRY_DELAY_JITTER: Range<f64> = 0.6..1.4;

/// What logs and metrics name in place of who knew where a stream began.
const NOBODY: &str = "nobody";

/// Maximum gap between two events of a stream, as a multiple of the route's objective for gaps.
/// After it the endpoint counts as lost.
const MAX_GAP_FACTOR: u32 = 4;
/// Lower bound of that maximum gap.
const MIN_GAP_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A callers' protocol whose requests are routed by the configuration.
#[derive(Debug)]
pub struct Routed<P>(pub P);

impl<P: RoutedProtocol> CallerProtocol for Routed<P> {
    fn listen_for_forwarded(
        &self,
        entry: &Rc<Entry>,
        listen: SocketAddr,
    ) -> io::Result<Option<HttpServer>> {
        server::bind(Rc::clone(entry), self.0.endpoints(), listen).map(Some)
    }

    async fn serve(&self, entry: Rc<Entry>, req: Request<Incoming>) -> Response<ResponseBody> {
        let (parts, body) = req.into_parts();
        let result = match self.0.read_head(&parts) {
            Ok(head) => serve(&entry, &self.0, &head, Request::from_parts(parts, body)).await,
            Err(error) => Err(refused(&entry, "", error)),
        };
        result.unwrap_or_else(|error| self.0.error(&error))
    }
}

/// Logs and counts a request refused before it is sent to an endpoint.
fn refused(entry: &Entry, id: &str, error: ApiError) -> ApiError {
    entry.metrics.refused.with_label_values(&[error.code]).inc();
    let version = entry.table().map(|table| table.version());
    Line::new("request_refused")
        .with("request", id)
        .with("code", error.code)
        .with("status", error.status.as_u16())
        .with("configuration", version.unwrap_or_default())
        .with("why", &error.message)
        .info();
    error
}

async fn serve<P: RoutedProtocol>(
    entry: &Rc<Entry>,
    protocol: &P,
    head: &CallerHead,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, ApiError> {
    let received = clock::now();
    let admitted = match admit_routed(entry, head, req, received).await {
        Ok(admitted) => admitted,
        Err(error) => return Err(refused(entry, &head.id, error)),
    };
    let Admitted { request, limits, units, objective } = admitted;
    let organisation = request.organisation.clone();
    let wait = CallerWait::begin(entry, &request, received, objective);
    let result = call::call(Rc::clone(entry), protocol.endpoints(), request, limits).await;
    if let Some(wait) = wait {
        wait.end(&result);
    }
    result.map_err(|mut error| {
        if error.run == RunState::NotRun {
            entry.quotas.refund(entry.cluster_time(), &organisation, units);
        }
        error.retry_after = error.retry_after.map(|after| jittered(after, &head.id));
        error
    })
}

/// A retry delay that differs from request to request.
fn jittered(after: Duration, id: &str) -> Duration {
    let fraction = hash::fraction(id);
    let Range { start, end } = RETRY_DELAY_JITTER;
    after.mul_f64(start + fraction * (end - start))
}

/// A request that may be sent to an endpoint.
struct Admitted {
    request: CallRequest,
    limits: CallLimits,
    /// Units charged to the quota of its organisation.
    units: u64,
    /// Latency objective of its route.
    objective: Duration,
}

/// Checks a request, reads its body and charges the quota of its organisation.
async fn admit_routed(
    entry: &Rc<Entry>,
    head: &CallerHead,
    req: Request<Incoming>,
    received: Instant,
) -> Result<Admitted, ApiError> {
    let table = entry.table().ok_or_else(|| {
        ApiError::temporarily_refused("no_configuration", "this entry box has no configuration yet")
    })?;
    let (parts, body) = req.into_parts();
    let route = table.route(&head.host, parts.uri.path()).ok_or_else(|| {
        let message = format!("no route of host `{}` matches this path", head.host);
        ApiError::rejected(StatusCode::NOT_FOUND, "no_route", message)
    })?;
    let organisation = organisation(&table, route, head.key.as_deref())?;
    native::admit(entry)?;
    let body_bytes = table.limits().body_bytes;
    let body = native::read_body(entry, body, body_bytes).await?;
    let name = organisation.map_or("", |organisation| organisation.name.as_str());
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let origin = origin_of(entry, route, name, head).await?;
    let service = match &origin {
        Some(origin) => &*origin.service,
        None => route.pick(hash::of(&head.id)).unwrap_or_default(),
    };
    let request = CallRequest {
        id: head.id.clone(),
        service: entry.service_id(service),
        service_name: service.to_owned(),
        organisation: name.to_owned(),
        addressed_to: route.host.to_ascii_lowercase(),
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        form: response_form(route.kind),
        repeatable: route.kind.repeatable(),
        priority: organisation.and_then(|o| o.priority).or(Some(route.priority)),
        prefix: if route.affine { head.work.as_ref().map_or(0, prefix_hash) } else { 0 },
        work: head.work.clone(),
        resume_after: None,
        software: origin.as_ref().map(|origin| origin.software.clone()),
        stream: stream_key(route, name, head),
        is_forwarded: false,
    };
    quarantine::check(entry, &request)?;
    let units = quota_units(organisation, head.work.as_ref());
    let charged = entry.quotas.charge(entry.cluster_time(), &head.id, name, units);
    charged.map_err(|wait| over_quota(name, wait))?;
    let limits = call_limits(route, head.timeout, received);
    Ok(Admitted { request, limits, units, objective: route.objective })
}

/// The key of the stream to which the response belongs, if it may be resumed.
fn stream_key(route: &Route, organisation: &str, head: &CallerHead) -> Option<StreamKey> {
    if !matches!(route.kind, RequestKind::Stream { resumable: true }) {
        return None;
    }
    let first_request = head.takes_up.as_ref().and_then(|stream| stream.first_request.as_ref());
    Some(stream_origins::key_of(organisation, first_request.unwrap_or(&head.id)))
}

/// Where the stream began that the request takes up, if it takes up one that may be resumed.
///
/// # Errors
///
/// If that isn't known, or if the route no longer leads there: what two software versions or two
/// services write does not fit together, so this box must not guess.
async fn origin_of(
    entry: &Entry,
    route: &Route,
    organisation: &str,
    head: &CallerHead,
) -> Result<Option<Origin>, ApiError> {
    let Some(stream) = &head.takes_up else { return Ok(None) };
    let Some(key) = stream_key(route, organisation, head) else { return Ok(None) };
    let found = if stream.first_request.is_some() {
        stream_origins::find(entry, key).await
    } else {
        let service = route.pick(hash::of(&head.id)).unwrap_or_default();
        let origin = registered::sole_origin(entry, service);
        origin.map(|origin| (origin, KnownBy::OwnBox)).ok_or(Unknown::Unnamed)
    };
    let found = found.and_then(|(origin, known_by)| {
        let leads_there = route.leads_to(&origin.service);
        leads_there.then_some((origin, known_by)).ok_or(Unknown::OtherService)
    });
    let known_by = found.as_ref().map_or(NOBODY, |(_, known_by)| known_by.name());
    Line::new("stream_taken_up")
        .with("request", &head.id)
        .with("first_request", stream.first_request.as_deref().unwrap_or_default())
        .with("software", found.as_ref().map_or("", |(origin, _)| &origin.software))
        .with("known_by", known_by)
        .with("unknown", found.as_ref().err().map_or("", |unknown| unknown.name()))
        .info();
    entry.metrics.taken_up.with_label_values(&[known_by]).inc();
    let refusal = |_unknown| {
        let message = "it isn't known which software version began this stream, so it can't be \
                       resumed; begin it again, or retry later";
        ApiError::temporarily_refused("stream_unknown", message)
    };
    found.map(|(origin, _)| Some(origin)).map_err(refusal)
}

fn organisation<'a>(
    table: &'a RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<&'a OrganisationSpec>, ApiError> {
    let found = key.and_then(|key| table.organisation(key));
    if found.is_some() || route.public || table.organisations().next().is_none() {
        return Ok(found);
    }
    let message = "send `Authorization: Bearer` with the key of a known organisation";
    Err(ApiError::rejected(StatusCode::UNAUTHORIZED, "unauthorized", message))
}

fn over_quota(organisation: &str, wait: Duration) -> ApiError {
    let message = format!("organisation `{organisation}` is over its quota");
    let mut error = ApiError::rejected(StatusCode::TOO_MANY_REQUESTS, "over_quota", message);
    error.retry_after = Some(wait);
    error
}

/// Units that a request takes of its organisation's quota.
fn quota_units(organisation: Option<&OrganisationSpec>, work: Option<&Work>) -> u64 {
    match (organisation.map(|spec| spec.unit), work) {
        (Some(QuotaUnit::Tokens { .. }), Some(work)) => {
            u64::from(work.prompt_tokens) + u64::from(work.max_tokens)
        }
        (Some(QuotaUnit::Tokens { plain }), None) => plain,
        (Some(QuotaUnit::Requests) | None, _) => 1,
    }
}

fn response_form(kind: RequestKind) -> AnswerForm {
    match kind {
        RequestKind::Repeatable | RequestKind::AtMostOnce => AnswerForm::Buffered,
        RequestKind::Stream { resumable } => AnswerForm::EventStream { resumable },
    }
}

fn call_limits(route: &Route, timeout: Option<Duration>, received: Instant) -> CallLimits {
    let remaining = timeout.map_or(route.timeout, |left| left.min(route.timeout));
    let gap = route.pause_objective.unwrap_or(remaining) * MAX_GAP_FACTOR;
    CallLimits {
        max_attempts: route.max_attempts.max(1),
        deadline: received + remaining,
        wait_policy: WaitPolicy::IfExpectedBy { deadline: received + route.objective },
        head_timeout: remaining,
        gap_timeout: gap.max(MIN_GAP_TIMEOUT),
    }
}

/// Hash of the last prompt part that other requests share; 0 if there is none.
fn prefix_hash(work: &Work) -> u64 {
    work.shared().last().map_or(0, |part| hash::of(part.id).max(1))
}

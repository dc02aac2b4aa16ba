//! The operators' interface: gRPC as defined in `proto/`, metrics, and the state as JSON.
//!
//! The gRPC library requires handlers that can move between threads, while the entry box's state
//! belongs to one thread. A handler therefore sends a query to the event loop and awaits the
//! result.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_channel::oneshot;
use futures_util::StreamExt as _;
use tonic::Request;
use tonic::Status;
use vaneway_quarantine::Case;
use vaneway_quarantine::Fingerprint;
use vaneway_route::Endpoint;

use crate::core::entry::Entry;
use crate::core::prompt_parts;
use crate::core::quarantine;
use crate::core::settings::OperatorToken;
use crate::core::settings::ServiceKind;
use crate::proto::v1;
use crate::proto::v1::operators_server::Operators;
use crate::proto::v1::operators_server::OperatorsServer;
use crate::util::clock;
use crate::util::logline::Line;

type EntryQuery = Box<dyn FnOnce(&Entry) + Send>;

/// Runs queries on the event loop that owns the entry box's state.
#[derive(Debug, Clone)]
struct EntryHandle {
    queries: mpsc::UnboundedSender<EntryQuery>,
    tokens: Arc<Vec<OperatorToken>>,
}

impl EntryHandle {
    async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Entry) -> T + Send + 'static,
    ) -> Result<T, Status> {
        let (tx, rx) = oneshot::channel();
        let query: EntryQuery = Box::new(move |entry| {
            // The operator may have disconnected meanwhile.
            let _gone = tx.send(query(entry));
        });
        let sent = self.queries.unbounded_send(query);
        sent.map_err(|error| Status::unavailable(error.to_string()))?;
        rx.await.map_err(|error| Status::unavailable(error.to_string()))
    }

    /// Checks an `authorization` header; `call` names the call in the log.
    fn check(&self, authorization: Option<&str>, call: &str) -> Result<(), Status> {
        if self.tokens.is_empty() {
            return Ok(());
        }
        let token = authorization.and_then(|value| value.strip_prefix("Bearer "));
        let known = token.and_then(|token| self.tokens.iter().find(|known| known.token == token));
        let Some(operator) = known else {
            Line::new("operator_refused").with("call", call).warn();
            return Err(Status::unauthenticated("send the token of a known operator"));
        };
        log::debug!("event=operator_call operator={} call={call}", operator.name);
        Ok(())
    }

    fn check_request<T>(&self, req: &Request<T>, call: &str) -> Result<(), Status> {
        let value = req.metadata().get("authorization");
        self.check(value.and_then(|value| value.to_str().ok()), call)
    }
}

/// Binds the operators' address, serves it in the background and returns it.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(entry: Rc<Entry>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(entry.settings.operators.listen).await?;
    let address = listener.local_addr()?;
    // Each query's connection waits for the result, so there are never more queries than
    // connections.
    let (tx, mut rx) = mpsc::unbounded::<EntryQuery>();
    let tokens = Arc::new(entry.settings.operators.tokens.clone());
    compio::runtime::spawn(async move {
        while let Some(query) = rx.next().await {
            query(&entry);
        }
    })
    .detach();
    let handle = EntryHandle { queries: tx, tokens };
    let router = tonic::service::Routes::new(OperatorsServer::new(handle.clone()))
        .into_axum_router()
        .merge(http_routes(handle));
    compio::runtime::spawn(async move {
        if let Err(error) = cyper_axum::serve(listener, router).await {
            log::error!("event=operators_stopped error={error:?}");
        }
    })
    .detach();
    Ok(address)
}

fn http_routes(handle: EntryHandle) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/debug/state", get(state))
        .with_state(handle)
}

async fn metrics(State(handle): State<EntryHandle>) -> Response {
    let rendered = handle
        .query(|entry| {
            entry.metrics.open.set(entry.open.len().try_into().unwrap_or(i64::MAX));
            entry.metrics.render()
        })
        .await;
    http_response("text/plain; version=0.0.4", rendered)
}

async fn state(State(handle): State<EntryHandle>, headers: HeaderMap) -> Response {
    let authorization = headers.get("authorization").and_then(|value| value.to_str().ok());
    if let Err(status) = handle.check(authorization, "debug_state") {
        return (StatusCode::UNAUTHORIZED, status.message().to_owned()).into_response();
    }
    http_response(
        "application/json",
        handle.query(|entry| entry.dump().to_string().into_bytes()).await,
    )
}

fn http_response(kind: &'static str, body: Result<Vec<u8>, Status>) -> Response {
    match body {
        Ok(body) => ([("content-type", kind)], body).into_response(),
        Err(status) => (StatusCode::SERVICE_UNAVAILABLE, status.to_string()).into_response(),
    }
}

fn service_name(entry: &Entry, endpoint: &Endpoint) -> String {
    entry.settings.services[endpoint.spec.service as usize].name.clone()
}

/// Describes the endpoints of one service, or of all if `service` is empty.
fn endpoints_of<T>(
    entry: &Entry,
    service: &str,
    describe: impl Fn(&Endpoint, String) -> T,
) -> Result<Vec<T>, Status> {
    if !service.is_empty() && entry.settings.service_named(service).is_none() {
        return Err(Status::not_found(format!("there is no service `{service}`")));
    }
    let pool = entry.pool.borrow();
    let named = pool.endpoints().iter().map(|endpoint| (endpoint, service_name(entry, endpoint)));
    let wanted = named.filter(|(_, name)| service.is_empty() || name == service);
    Ok(wanted.map(|(endpoint, name)| describe(endpoint, name)).collect())
}

fn describe_replica(endpoint: &Endpoint, service: String) -> v1::Replica {
    v1::Replica {
        name: endpoint.spec.name.clone(),
        service,
        address: endpoint.spec.address.to_string(),
        availability_zone: endpoint.spec.availability_zone.clone(),
        r#box: endpoint.spec.box_name.clone(),
        reclaimable: endpoint.spec.reclaimable,
        max_open: endpoint.spec.max_open,
    }
}

fn describe_endpoint(endpoint: &Endpoint, service: String) -> v1::Endpoint {
    let now = clock::now();
    let gone_in = endpoint.gone_at.map(|at| at.saturating_duration_since(now));
    v1::Endpoint {
        replica: endpoint.spec.name.clone(),
        service,
        address: endpoint.spec.address.to_string(),
        availability_zone: endpoint.spec.availability_zone.clone(),
        state: endpoint.state_name().to_owned(),
        instance: endpoint.instance.clone().unwrap_or_default(),
        open_requests: endpoint.open,
        open_tokens: endpoint.open_tokens,
        gone_in_ms: gone_in.map(|gone_in| gone_in.as_millis() as u64),
    }
}

fn list_services(entry: &Entry) -> Vec<v1::Service> {
    let pool = entry.pool.borrow();
    let now = clock::now();
    let describe = |(id, service): (usize, &crate::core::settings::Service)| {
        let of_service = || pool.endpoints().iter().filter(move |e| e.spec.service as usize == id);
        let kind = match service.kind {
            ServiceKind::Model => "model",
            ServiceKind::Plain => "plain",
        };
        v1::Service {
            name: service.name.clone(),
            kind: kind.to_owned(),
            models: service.models.clone(),
            replicas: of_service().count() as u32,
            available: of_service().filter(|endpoint| endpoint.takes_work(now)).count() as u32,
        }
    };
    entry.settings.services.iter().enumerate().map(describe).collect()
}

fn list_quarantine(entry: &Entry) -> Vec<v1::QuarantinedRequest> {
    let quarantine = entry.quarantine.borrow();
    let describe = |(fingerprint, case): (&Fingerprint, &Case)| v1::QuarantinedRequest {
        fingerprint: format!("{fingerprint:016x}"),
        verdict: case.verdict.name().to_owned(),
        endpoints: case.crashes.keys().map(ToString::to_string).collect(),
        kind: "request".to_owned(),
        service: String::new(),
    };
    let parts = prompt_parts::list_held(entry).into_iter().map(|held| v1::QuarantinedRequest {
        fingerprint: format!("{:016x}", held.part),
        verdict: held.verdict.name().to_owned(),
        endpoints: held.crashed.iter().map(ToString::to_string).collect(),
        kind: "part".to_owned(),
        service: held.service,
    });
    quarantine.cases().iter().map(describe).chain(parts).collect()
}

#[tonic::async_trait]
impl Operators for EntryHandle {
    async fn list_services(
        &self,
        request: Request<v1::ListServicesRequest>,
    ) -> Result<tonic::Response<v1::ListServicesResponse>, Status> {
        self.check_request(&request, "list_services")?;
        let services = self.query(list_services).await?;
        Ok(tonic::Response::new(v1::ListServicesResponse { services }))
    }

    async fn list_replicas(
        &self,
        request: Request<v1::ListReplicasRequest>,
    ) -> Result<tonic::Response<v1::ListReplicasResponse>, Status> {
        self.check_request(&request, "list_replicas")?;
        let service = request.into_inner().service;
        let replicas =
            self.query(move |entry| endpoints_of(entry, &service, describe_replica)).await??;
        Ok(tonic::Response::new(v1::ListReplicasResponse { replicas }))
    }

    async fn list_endpoints(
        &self,
        request: Request<v1::ListEndpointsRequest>,
    ) -> Result<tonic::Response<v1::ListEndpointsResponse>, Status> {
        self.check_request(&request, "list_endpoints")?;
        let service = request.into_inner().service;
        let endpoints =
            self.query(move |entry| endpoints_of(entry, &service, describe_endpoint)).await??;
        Ok(tonic::Response::new(v1::ListEndpointsResponse { endpoints }))
    }

    async fn get_status(
        &self,
        request: Request<v1::GetStatusRequest>,
    ) -> Result<tonic::Response<v1::GetStatusResponse>, Status> {
        self.check_request(&request, "get_status")?;
        let status = self
            .query(|entry| v1::GetStatusResponse {
                name: entry.settings.name.clone(),
                availability_zone: entry.settings.availability_zone.clone(),
                phase: entry.phase().name().to_owned(),
                open_requests: entry.open.len() as u64,
                version: env!("CARGO_PKG_VERSION").to_owned(),
            })
            .await?;
        Ok(tonic::Response::new(status))
    }

    async fn list_quarantine(
        &self,
        request: Request<v1::ListQuarantineRequest>,
    ) -> Result<tonic::Response<v1::ListQuarantineResponse>, Status> {
        self.check_request(&request, "list_quarantine")?;
        let requests = self.query(list_quarantine).await?;
        Ok(tonic::Response::new(v1::ListQuarantineResponse { requests }))
    }

    async fn release_request(
        &self,
        request: Request<v1::ReleaseRequestRequest>,
    ) -> Result<tonic::Response<v1::ReleaseRequestResponse>, Status> {
        self.check_request(&request, "release_request")?;
        let text = request.into_inner().fingerprint;
        let Ok(fingerprint) = Fingerprint::from_str_radix(&text, 16) else {
            let message =
                format!("`{text}` is not a fingerprint: send up to 16 hexadecimal digits");
            return Err(Status::invalid_argument(message));
        };
        let released = self.query(move |entry| quarantine::release(entry, fingerprint)).await?;
        if !released {
            return Err(Status::not_found(format!("nothing is recorded against request {text}")));
        }
        Ok(tonic::Response::new(v1::ReleaseRequestResponse {}))
    }

    async fn dump(
        &self,
        request: Request<v1::DumpRequest>,
    ) -> Result<tonic::Response<v1::DumpResponse>, Status> {
        self.check_request(&request, "dump")?;
        let json = self.query(|entry| entry.dump().to_string()).await?;
        Ok(tonic::Response::new(v1::DumpResponse { json }))
    }
}

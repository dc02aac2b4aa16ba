//! The native HTTP and JSON API of a control box.
//!
//! | call | description |
//! |---|---|
//! | `PUT /v1/configuration` | puts a configuration in force |
//! | `GET /v1/configuration` | returns the newest committed configuration |
//! | `POST /v1/endpoints` | registration or heartbeat of an endpoint |
//! | `GET /v1/state` | returns a dump of this box's state |
//!
//! A box that is not the leader answers the first two with status 307 and the leader's address.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::LOCATION;
use serde_json::Value;
use serde_json::json;
use vaneway_capacity::Kind;
use vaneway_capacity::Order;
use vaneway_ledger::Counts;
use vaneway_ledger::Window;
use vaneway_registry::Report;

use crate::core::callers::answer::json_response;
use crate::core::configuration::Configuration;
use crate::core::control::machine::ConfigurationDocument;
use crate::core::control::operations;
use crate::core::control::operations::Refusal;
use crate::core::control::protocol::CloudProtocol;
use crate::core::control::protocol::ControlProtocol;
use crate::core::control::protocol::Holder;
use crate::core::control::protocol::read_body;
use crate::core::control::state::Control;
use crate::core::endpoints::link::EndpointRequest;
use crate::util::body::ResponseBody;

/// Path of the configuration.
const CONFIGURATION: &str = "/v1/configuration";

/// The native API of a control box.
#[derive(Debug, Clone, Copy)]
pub struct NativeControl {
    /// Port at which all control boxes offer this API, for redirects; none for the port of the
    /// other calls.
    pub port: Option<u16>,
}

impl ControlProtocol for NativeControl {
    async fn serve(&self, control: Rc<Control>, req: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = req.into_parts();
        let Some(body) = read_body(body).await else {
            return error_response(StatusCode::BAD_REQUEST, "request body too large or truncated");
        };
        match (&head.method, head.uri.path()) {
            (&Method::PUT, CONFIGURATION) => self.put(&control, &body).await,
            (&Method::GET, CONFIGURATION) => self.get(&control),
            (&Method::POST, "/v1/endpoints") => endpoint(&control, &body),
            (&Method::GET, "/v1/state") => {
                json_response(StatusCode::OK, Bytes::from(control.dump().to_string()))
            }
            (method, path) => {
                let message = format!("unknown call: {method} {path}");
                error_response(StatusCode::NOT_FOUND, &message)
            }
        }
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, Bytes::from(json!({ "error": message }).to_string()))
}

impl NativeControl {
    fn refusal_response(self, control: &Control, refusal: &Refusal) -> Response<ResponseBody> {
        match refusal {
            Refusal::NotLeader { leader } => {
                let mut response = error_response(
                    StatusCode::TEMPORARY_REDIRECT,
                    "this box is not the leader; follow the redirect",
                );
                let mut leader = control.api_address(*leader);
                leader.set_port(self.port.unwrap_or(leader.port()));
                if let Ok(location) = format!("http://{leader}{CONFIGURATION}").parse() {
                    response.headers_mut().insert(LOCATION, location);
                }
                response
            }
            Refusal::Unavailable => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, "no leader is known; try again")
            }
            Refusal::Invalid(findings) => {
                let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
                let body = json!({ "error": "invalid configuration", "findings": findings });
                json_response(StatusCode::UNPROCESSABLE_ENTITY, Bytes::from(body.to_string()))
            }
        }
    }

    async fn put(self, control: &Rc<Control>, body: &[u8]) -> Response<ResponseBody> {
        let configuration: Configuration = match serde_json::from_slice(body) {
            Ok(configuration) => configuration,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        let version = configuration.version;
        let document = String::from_utf8_lossy(body).into_owned();
        match operations::configure(control, ConfigurationDocument { configuration, document })
            .await
        {
            Ok(()) => json_response(
                StatusCode::OK,
                Bytes::from(json!({ "accepted": version }).to_string()),
            ),
            Err(refusal) => self.refusal_response(control, &refusal),
        }
    }

    fn get(self, control: &Control) -> Response<ResponseBody> {
        match operations::newest_configuration(control) {
            Ok(Some(current)) => {
                json_response(StatusCode::OK, Bytes::from(current.document.clone()))
            }
            Ok(None) => error_response(StatusCode::NOT_FOUND, "no configuration has been set yet"),
            Err(refusal) => self.refusal_response(control, &refusal),
        }
    }
}

fn endpoint(control: &Control, body: &[u8]) -> Response<ResponseBody> {
    match serde_json::from_slice::<Report>(body) {
        Ok(report) => {
            operations::record_endpoint_report(control, &report);
            json_response(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// The native protocol for calls to the cloud.
#[derive(Debug, Clone, Copy)]
pub struct NativeCloud;

fn call(path: &str, body: &Value) -> EndpointRequest {
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("method, path and body are valid")
}

impl CloudProtocol for NativeCloud {
    fn usage_report(&self, holder: &Holder, window: Window, counts: &Counts) -> EndpointRequest {
        let body = json!({
            "window": window, "counts": counts, "holder": holder.name, "fence": holder.fence,
        });
        call("/v1/usage", &body)
    }

    fn capacity_order(&self, holder: &Holder, service: &str, order: &Order) -> EndpointRequest {
        let body = json!({
            "service": service,
            "availability_zone": order.zone,
            "reclaimable": order.kind == Kind::Reclaimable,
            "replicas": order.count,
            "holder": holder.name,
            "fence": holder.fence,
        });
        call("/v1/capacity", &body)
    }
}

//! Protocols of callers, and the data that a routed request must provide.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request;
pub use vaneway_route::PromptPart;
pub use vaneway_route::Work;

use crate::core::callers::api_error::ApiError;
use crate::core::endpoints::protocol::EndpointProtocol;
use crate::core::entry::Entry;
use crate::util::body::ResponseBody;
use crate::util::http_server::HttpServer;

/// A protocol spoken by callers.
pub trait CallerProtocol: 'static {
    /// Handles one request.
    fn serve(
        &self,
        entry: Rc<Entry>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;

    /// Starts listening for calls that other entry boxes forward, if this protocol supports that;
    /// by default it doesn't.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    fn listen_for_forwarded(
        &self,
        _entry: &Rc<Entry>,
        _listen: SocketAddr,
    ) -> io::Result<Option<HttpServer>> {
        Ok(None)
    }
}

/// Data from the head of a routed request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The request id chosen by the caller.
    pub id: String,
    /// The host that the request is addressed to.
    pub host: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The size of the work, if the request is for a model.
    pub work: Option<Work>,
    /// The stream that the request takes up, if its caller has received a part of one.
    pub takes_up: Option<TakenUpStream>,
}

/// A stream of which a caller has received a part, in the response to an earlier request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakenUpStream {
    /// Id of the request that brought its first event; none if the caller doesn't name it.
    pub first_request: Option<String>,
}

/// A callers' protocol in which requests are routed by the deployment's configuration.
pub trait RoutedProtocol: 'static {
    /// The protocol of the endpoints.
    type Endpoints: EndpointProtocol;

    /// Returns the protocol of the endpoints.
    fn endpoints(&self) -> Rc<Self::Endpoints>;

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// If the head violates the protocol.
    fn read_head(&self, head: &request::Parts) -> Result<CallerHead, ApiError>;

    /// The response with an error, in the protocol's format.
    fn error(&self, error: &ApiError) -> Response<ResponseBody>;
}

//! What callers speak, and what the product needs to know of a routed request.

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

/// What callers speak.
pub trait CallerProtocol: 'static {
    /// Answers one request.
    fn serve(
        &self,
        entry: Rc<Entry>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// What the head of a routed request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The request's id, given by the caller.
    pub id: String,
    /// The host that the caller names.
    pub host: String,
    /// The key that the caller holds.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The work, if it is for a model.
    pub work: Option<Work>,
}

/// A callers' protocol in which requests are routed by the deployment's configuration.
pub trait RoutedProtocol: 'static {
    /// What the endpoints behind it speak.
    type Endpoints: EndpointProtocol;

    /// The endpoints' protocol.
    fn endpoints(&self) -> Rc<Self::Endpoints>;

    /// Reads what the product needs of a request's head.
    ///
    /// # Errors
    ///
    /// If the head is not in the protocol's form.
    fn read_head(&self, head: &request::Parts) -> Result<CallerHead, ApiError>;

    /// An error in the protocol's form.
    fn error(&self, error: &ApiError) -> Response<ResponseBody>;
}

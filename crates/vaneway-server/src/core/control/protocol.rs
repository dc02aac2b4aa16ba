//! Protocols between a control box and endpoints, operators and the cloud.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Collected;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
pub use vaneway_capacity::Answer;
pub use vaneway_capacity::Kind;
pub use vaneway_capacity::Order;
use vaneway_ledger::Counts;
use vaneway_ledger::Window;

use crate::core::control::state::Control;
use crate::core::endpoints::link::EndpointRequest;
use crate::util::body::ResponseBody;

/// Maximum body size of a call in bytes: larger than the largest configuration that operators send.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads the body of a call; none if it is too large or truncated.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok().map(Collected::to_bytes)
}

/// Protocol of endpoints and operators.
pub trait ControlProtocol: 'static {
    /// Handles one request.
    fn serve(
        &self,
        control: Rc<Control>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// Identity under which the cloud is called. Only one box at a time holds it, with a fencing number
/// that rises with each change, so that the cloud can reject calls of a previous holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the control box.
    pub name: String,
    /// Fencing number; rises whenever another box takes over.
    pub fence: u64,
}

/// Protocol of the cloud.
pub trait CloudProtocol: 'static {
    /// Builds a report of the requests of each organisation in a window.
    fn usage_report(&self, holder: &Holder, window: Window, counts: &Counts) -> EndpointRequest;

    /// Builds an order of replicas of a service.
    fn capacity_order(&self, holder: &Holder, service: &str, order: &Order) -> EndpointRequest;

    /// Interprets the status of the response to an order. By default, a conflict (409) is a
    /// refusal; a cloud whose protocol signals refusals differently overrides this.
    fn order_answer(&self, status: StatusCode) -> Answer {
        match status {
            StatusCode::CONFLICT => Answer::Refused,
            status if status.is_success() => Answer::Taken,
            _ => Answer::Unknown,
        }
    }
}

//! What endpoints, operators and the cloud speak with a control box.

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

use crate::core::cluster_time::Window;
use crate::core::control::state::Control;
use crate::core::endpoints::link::EndpointRequest;
use crate::core::usage::Counts;
use crate::util::body::ResponseBody;

/// Largest body of a call: above the largest configuration that operators send.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Reads the body of a call; none if it is too long or breaks off.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    Limited::new(body, MAX_BODY_BYTES).collect().await.ok().map(Collected::to_bytes)
}

/// What endpoints and operators speak.
pub trait ControlProtocol: 'static {
    /// Answers one request.
    fn serve(
        &self,
        control: Rc<Control>,
        req: Request<Incoming>,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// In whose name the cloud is called: one box at a time, under a number that rises with each
/// change, so that the cloud can tell a box that has lost the duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Name of the box.
    pub name: String,
    /// Rises whenever another box takes over.
    pub fence: u64,
}

/// What the cloud speaks.
pub trait CloudProtocol: 'static {
    /// A report of the requests of each organisation in a window.
    fn usage_report(&self, holder: &Holder, window: Window, counts: &Counts) -> EndpointRequest;

    /// An order of replicas of a service.
    fn capacity_order(&self, holder: &Holder, service: &str, order: &Order) -> EndpointRequest;

    /// What an answer to an order means: a conflict is a refusal, unless the cloud speaks otherwise.
    fn order_answer(&self, status: StatusCode) -> Answer {
        match status {
            StatusCode::CONFLICT => Answer::Refused,
            status if status.is_success() => Answer::Taken,
            _ => Answer::Unknown,
        }
    }
}

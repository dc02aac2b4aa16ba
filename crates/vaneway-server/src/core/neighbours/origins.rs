//! Asks the neighbours where a stream began, while no control box can be asked.

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Response;
use vaneway_origins::Origin;
use vaneway_origins::StreamKey;
use vaneway_route::EndpointId;

use crate::core::entry::Entry;
use crate::core::neighbours::exchange;
use crate::util::body::ResponseBody;
use crate::util::frames;
use crate::util::frames::EncodedFrame;

/// Path of these questions at a neighbour.
pub const PATH: &str = "/v1/stream-origin";

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1_024;

/// Where a stream began, if a neighbour knows it.
pub async fn ask(entry: &Entry, key: StreamKey) -> Option<Origin> {
    let neighbours = entry.neighbours.current();
    let ask_one = |neighbour: EndpointId| {
        exchange::<_, Option<Origin>>(entry, neighbour, PATH, &key, MAX_ANSWER_BYTES)
    };
    let answers = join_all(neighbours.into_iter().map(ask_one)).await;
    answers.into_iter().flatten().flatten().next()
}

/// Answers the question of another box.
pub fn answer(entry: &Entry, body: Bytes) -> Response<ResponseBody> {
    let key = frames::take_message::<StreamKey>(&mut body.into());
    let origin = key.and_then(|key| entry.origins.get(key));
    Response::new(ResponseBody::full(EncodedFrame::new(&origin).frame().clone()))
}

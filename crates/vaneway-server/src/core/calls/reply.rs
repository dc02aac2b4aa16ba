//! Sending a response to its caller.

use std::task::Context;
use std::task::Poll;

use futures_channel::oneshot;
use hyper::Response;
use hyper::http::response;

use crate::core::callers::api_error::ApiError;
use crate::util::body::ResponseBody;
use crate::util::outbox::Outbox;
use crate::util::outbox::QueueLimits;
use crate::util::outbox::outbox_within;

/// The response as far as it is known. The response of a later attempt replaces that of an earlier
/// one, unless events have already been sent to the caller.
pub(super) enum PendingResponse {
    Empty,
    /// An endpoint's error response, sent to the caller if no other attempt succeeds.
    Failed(Response<ResponseBody>),
    Complete(Response<ResponseBody>),
    /// Head of an event stream, sent to the caller with the first event.
    Head(response::Parts),
    /// Events are being sent to the caller.
    Streaming(Outbox),
}

/// Sends the response to the caller.
pub(super) struct ResponseSender {
    pub(super) tx: Option<oneshot::Sender<Result<Response<ResponseBody>, ApiError>>>,
    pub(super) pending: PendingResponse,
}

impl ResponseSender {
    pub(super) fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match (&mut self.tx, &self.pending) {
            (Some(tx), _) => tx.poll_canceled(cx),
            (None, PendingResponse::Streaming(outbox)) => outbox.poll_closed(cx),
            (None, _) => Poll::Pending,
        }
    }

    pub(super) fn poll_capacity(&self, cx: &mut Context<'_>) -> Poll<()> {
        match &self.pending {
            PendingResponse::Streaming(outbox) => outbox.poll_capacity(cx),
            _ => Poll::Ready(()),
        }
    }

    pub(super) fn send(&mut self, response: Result<Response<ResponseBody>, ApiError>) {
        if let Some(tx) = self.tx.take() {
            // A caller that disconnected needs no response.
            let _gone = tx.send(response);
        }
    }

    /// Sets the head of an event stream, unless events have been sent to the caller under another one.
    pub(super) fn set_head(&mut self, head: response::Parts) {
        if !matches!(self.pending, PendingResponse::Streaming(_)) {
            self.pending = PendingResponse::Head(head);
        }
    }

    /// Sets an endpoint's error response, unless events have been sent to the caller.
    pub(super) fn set_failed(&mut self, response: Response<ResponseBody>) {
        if !matches!(self.pending, PendingResponse::Streaming(_)) {
            self.pending = PendingResponse::Failed(response);
        }
    }

    pub(super) fn push_event(&mut self, queue: &QueueLimits, bytes: &[u8]) {
        match std::mem::replace(&mut self.pending, PendingResponse::Empty) {
            PendingResponse::Head(head) => {
                let (outbox, body) = outbox_within(queue);
                self.pending = PendingResponse::Streaming(outbox);
                self.send(Ok(Response::from_parts(head, ResponseBody::Streamed(body))));
            }
            response => self.pending = response,
        }
        if let PendingResponse::Streaming(outbox) = &self.pending {
            outbox.push(bytes);
        }
    }
}

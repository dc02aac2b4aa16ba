//! The body of an HTTP response.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

use crate::util::outbox::OutboxBody;
use crate::util::outbox::TruncatedBody;

/// The body of an HTTP response: available at once, or streamed by a task.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body whose bytes are all available.
    Full(Full<Bytes>),
    /// A body whose bytes are streamed by a task.
    Streamed(OutboxBody),
}

impl ResponseBody {
    /// Creates a body from its bytes.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match self.get_mut() {
            Self::Full(full) => {
                Pin::new(full).poll_frame(cx).map(|f| f.map(|r| r.map_err(Into::into)))
            }
            Self::Streamed(streamed) => Pin::new(streamed).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

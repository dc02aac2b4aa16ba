//! The body of a response to a caller.

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

/// The body of a response to a caller: whole at once, or fed by a task.
#[derive(Debug)]
pub enum ResponseBody {
    /// Known bytes.
    Full(Full<Bytes>),
    /// Bytes as they come.
    Streamed(OutboxBody),
}

impl ResponseBody {
    /// A body of known bytes.
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
            Self::Streamed(fed) => Pin::new(fed).poll_frame(cx),
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

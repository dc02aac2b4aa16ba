//! The body of a response to a caller.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::Full;

use crate::util::outbox::CutOff;
use crate::util::outbox::OutboxBody;

/// The body of a response to a caller: whole at once, or fed by a task.
#[derive(Debug)]
pub enum CallerBody {
    /// Known bytes.
    Full(Full<Bytes>),
    /// Bytes as they come.
    Fed(OutboxBody),
}

impl CallerBody {
    /// A body of known bytes.
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        match self.get_mut() {
            Self::Full(full) => {
                Pin::new(full).poll_frame(cx).map(|f| f.map(|r| r.map_err(Into::into)))
            }
            Self::Fed(fed) => Pin::new(fed).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Fed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Fed(_) => SizeHint::default(),
        }
    }
}

//! How the end of a response's body shows.

use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::CONTENT_LENGTH;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;

/// The last transfer coding of a body that is sent in chunks.
const CHUNKED: &str = "chunked";

/// How the end of a response's body shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By the length, which is stated or follows from the status or the method.
    Length,
    /// By the last chunk.
    Chunks,
    /// By the end of the connection, which ends in the same way when the process of its peer does.
    UntilClose,
}

impl Framing {
    /// The framing of the response with this head to a request with this method, as RFC 9112,
    /// section 6.3 determines it.
    pub fn of(method: &Method, head: &response::Parts) -> Self {
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if *method == Method::HEAD || has_no_body {
            return Self::Length;
        }
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return if is_chunked(&head.headers) { Self::Chunks } else { Self::UntilClose };
        }
        if head.headers.contains_key(CONTENT_LENGTH) { Self::Length } else { Self::UntilClose }
    }

    /// Whether a body that ended in order has ended where its sender meant it to.
    pub fn shows_end(self) -> bool {
        self != Self::UntilClose
    }
}

/// Whether the last of a response's transfer codings is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}

//! Determines to which request of a connection a response belongs.
//!
//! Why: an endpoint may send a second copy of a response late, in the place where the response to
//! the next request is due. What a response says is true of its own request only: that it did not
//! run, that its endpoint has been replaced, and what it returned.
//!
//! Data flow: a connection notes the id of each request that is sent on it
//! ([`ConnectionRequests::begin`]) and looks for the id that the head of each response returns
//! ([`ConnectionRequests::owner`]). An id tells responses apart only if no other request on the
//! connection had it, so a request is sent over a connection that has carried its id only after
//! some others ([`ConnectionRequests::accepts`]).

use std::collections::VecDeque;

use hyper::HeaderMap;
use hyper::Method;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::util::hash;

/// Header with the id of a request, which endpoints return in the response to it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Maximum number of request ids that a connection remembers. A surplus response comes in the place
/// of one that follows soon.
const MAX_REMEMBERED: usize = 8;

/// The request to which a response belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The latest request: the response returns its id.
    Latest,
    /// The only request that the connection has carried; the response does not return its id.
    Only,
    /// An earlier request on the connection: the response returns the id of that one.
    Earlier,
    /// Any of several requests; the response returns none of their ids.
    Unknown,
}

/// Hash of a request's id.
type IdHash = u64;

/// The requests that a connection has carried.
#[derive(Debug, Default)]
pub struct ConnectionRequests {
    /// Ids of the requests before the latest, the oldest first.
    earlier: VecDeque<IdHash>,
    latest: Option<HeaderValue>,
    /// Number of requests so far.
    count: u64,
    /// Whether one of them was a HEAD request.
    has_head: bool,
    /// Whether a response did not return the id of its request.
    lacks_ids: bool,
}

impl ConnectionRequests {
    /// Whether the response to a request with these headers could be told from those to the requests
    /// before.
    pub fn accepts(&self, headers: &HeaderMap) -> bool {
        let Some(id) = headers.get(REQUEST_ID) else { return true };
        self.latest.as_ref() != Some(id) && !self.earlier.contains(&hash_of(id))
    }

    /// Whether each response so far has returned the id of its request.
    pub fn return_ids(&self) -> bool {
        !self.lacks_ids
    }

    /// Whether a surplus response may come before the next one, and the two can be told apart. After a
    /// HEAD request, the length of a surplus response doesn't show where it ends.
    pub fn may_have_surplus(&self) -> bool {
        !self.earlier.is_empty() && !self.has_head
    }

    /// Notes that a request with this method and these headers is sent.
    pub fn begin(&mut self, method: &Method, headers: &HeaderMap) {
        self.has_head |= *method == Method::HEAD;
        if let Some(previous) = self.latest.take() {
            if self.earlier.len() == MAX_REMEMBERED {
                self.earlier.pop_front();
            }
            self.earlier.push_back(hash_of(&previous));
        }
        self.latest = headers.get(REQUEST_ID).cloned();
        self.count += 1;
    }

    /// The request to which a response with these headers belongs.
    pub fn owner(&mut self, headers: &HeaderMap) -> ResponseOwner {
        let returned = || headers.get_all(REQUEST_ID).iter();
        if returned().any(|id| self.earlier.contains(&hash_of(id))) {
            return ResponseOwner::Earlier;
        }
        if let Some(latest) = &self.latest
            && returned().next().is_some()
            && returned().all(|id| id == latest)
        {
            return ResponseOwner::Latest;
        }
        self.lacks_ids |= self.latest.is_some();
        if self.count == 1 { ResponseOwner::Only } else { ResponseOwner::Unknown }
    }
}

fn hash_of(id: &HeaderValue) -> IdHash {
    hash::of(id.as_bytes())
}

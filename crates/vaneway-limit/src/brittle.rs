//! Endpoints that fail when they have to refuse too many requests.
//!
//! Why: such an endpoint should be sent no request for which it has no place. What a box knows of
//! the other boxes' requests there is outdated, so it may fill only half of the places by that. The
//! other half is divided among the boxes in advance, so that all of them together can't take more.
//!
//! After a refusal, what a box knows of the others is not relied on for some seconds: all places are
//! then divided in advance ([`share`]).

use crate::BoxNumber;

/// Requests that are open at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OpenRequests {
    /// Those of this box.
    pub own: u32,
    /// Those of all other boxes, as last reported.
    pub others: u32,
}

/// Whether a box may send one more request to a brittle endpoint with `places`, whose `key` is the
/// same at every box. A box without a number may use none of the places that are divided.
pub fn has_place(places: u32, open: OpenRequests, key: u64, number: Option<BoxNumber>) -> bool {
    let shared = places / 2;
    let divided = places - shared;
    open.own.saturating_add(open.others) < shared
        || number.is_some_and(|number| open.own < share(divided, key, number))
}

/// The part of `places` that belongs to a box: the same for each, and one more for as many boxes as
/// there are places left, from a box on that differs from endpoint to endpoint.
pub fn share(places: u32, key: u64, BoxNumber { number, of }: BoxNumber) -> u32 {
    let of = of.max(1);
    let first = (key % u64::from(of)) as u32;
    let turn = (number % of + of - first) % of;
    places / of + u32::from(turn < places % of)
}

//! Request limits that endpoints advertise, enforced by all entry boxes together, without I/O.
//!
//! Why: an overloaded endpoint advertises in its responses how many requests per second it accepts
//! from all entry boxes together. The limit is in force until a response no longer advertises it.
//! It can be less than one request per second for hundreds of boxes, none of which knows what the
//! others send.
//!
//! Data flow: a box records what each response advertises in its [`EndpointLimits`]
//! ([`EndpointLimits::record_response`]). [`EndpointLimits::take_updates`] returns the updates for
//! other boxes, and [`EndpointLimits::merge`] merges updates from them. The current limit of an
//! endpoint is passed to its [`Gate`], which is checked at every attempt.
//!
//! How the total is enforced: time is divided into intervals. The limit allows a number of requests
//! in each interval, and each of these belongs to one box, determined by its [`BoxNumber`]. A box
//! computes its share without communication, so the total holds while boxes are cut off. What a box
//! does not use in an interval is lost, so nothing can accumulate and be sent in a burst. While
//! boxes disagree on how many boxes there are, some requests belong to two of them or to none, but
//! the mean rate remains the same.
//!
//! Endpoints that fail when they refuse too many requests are sent only those for which they have a
//! place ([`has_place`]). After a refusal ([`EndpointLimits::record_refusal`]) the boxes go by a low
//! rate, and soon after by shares of the places ([`share`]).

mod brittle;
mod gate;
mod named;
mod number;
mod rate;

pub use brittle::OpenRequests;
pub use brittle::has_place;
pub use brittle::share;
pub use gate::BoxNumber;
pub use gate::Gate;
pub use gate::INTERVAL;
pub use gate::Sender;
pub use named::AdvertisedLimit;
pub use named::EndpointLimit;
pub use named::EndpointLimits;
pub use named::EpochTime;
pub use number::NumberError;
pub use number::parse_number;
pub use rate::Rate;

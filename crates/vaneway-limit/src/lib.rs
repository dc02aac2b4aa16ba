//! Limits that endpoints name, kept by all entry boxes together, without I/O.
//!
//! Why: an endpoint in need names in its answers how many requests a second it takes from all entry boxes together, for as
//! long as it says so. That can be less than one for hundreds of boxes, none of which knows what the others send.
//!
//! Data flow: a box tells its [`EndpointLimits`] what each answer names ([`EndpointLimits::record_response`]). What others have to
//! know comes out of [`EndpointLimits::take_updates`], and what they saw goes in by [`EndpointLimits::merge`]. What is known of an
//! endpoint goes to its [`Gate`], which every attempt passes.
//!
//! How the sum holds: time is cut into intervals, each of which has so many requests by the limit, and each of these
//! belongs to one box by its [`BoxNumber`]. A box needs nobody's word to know which are its own, so the sum holds while
//! boxes are cut off; and what isn't used in its interval is gone, so nothing can be saved up and sent at once. Where
//! boxes disagree on how many they are, some requests belong to two of them or to none, and the mean stays.

mod gate;
mod named;
mod number;
mod rate;

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

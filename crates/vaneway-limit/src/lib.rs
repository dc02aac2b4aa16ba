//! Limits that endpoints name, kept by all entry boxes together, without I/O.
//!
//! Why: an endpoint in need names in its answers how many requests a second it takes from all entry boxes together.
//!
//! Data flow: a box tells its [`NamedLimits`] what each answer names ([`NamedLimits::answered`]).

mod named;
mod rate;

pub use named::Born;
pub use named::EndpointName;
pub use named::Named;
pub use named::NamedLimit;
pub use named::NamedLimits;
pub use named::Time;
pub use rate::Rate;
pub use rate::RateError;

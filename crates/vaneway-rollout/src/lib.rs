//! Roll-outs of a version of endpoints' software, decided from answers, without I/O.
//!
//! Why: a version that fails or is slow must be taken back after few bad answers, also if only one
//! route shows it, and a good one must not be taken back for trouble that strikes all versions.
//!
//! Data flow: the steps of an order are agreed on and applied to [`Rollouts`]. Boxes try the target
//! with a share of their requests ([`Share`]) and count the answers of both versions by route,
//! availability zone and replica ([`Evidence`]). From the sum of all boxes, [`judge`] decides whether
//! the target is bad, and [`Known::next`] the next step.

mod evidence;
mod plan;
mod share;
mod state;
mod verdict;

pub use evidence::Cell;
pub use evidence::CellKey;
pub use evidence::Evidence;
pub use evidence::Histogram;
pub use plan::Known;
pub use plan::MIN_ANSWERS;
pub use plan::Next;
pub use share::Share;
pub use share::Turn;
pub use state::Applied;
pub use state::Order;
pub use state::Phase;
pub use state::Rollout;
pub use state::Rollouts;
pub use state::Step;
pub use state::VersionName;
pub use verdict::Aspect;
pub use verdict::Finding;
pub use verdict::judge;

//! How fast model engines read and generate, learned from the runs that pass through, and how many
//! replicas a load needs, without I/O.
//!
//! Why: engines differ a hundredfold in speed, places and memory, and nobody tells how fast they
//! are. The time until a run's first event and the pace of its later ones are seen anyway.
//!
//! Data flow: each entry box puts the runs of a service into an [`Observer`] and sends the totals of
//! its work with its own [`Speeds`]; a control box merges the speeds of all boxes ([`merge`]) and asks
//! [`Speeds::demand`] how many replicas the work of a second keeps busy.
//!
//! What keeps odd runs from leading it astray:
//!
//! - The time for a prompt token is the median slope over pairs of runs (Theil, "A rank-invariant
//!   method of linear and polynomial regression analysis", 1950; Sen, "Estimates of the regression
//!   coefficient based on Kendall's tau", 1968), so waits that don't depend on the prompt cancel out
//!   and up to a quarter of the runs may be arbitrarily slow.
//! - The pace of generating is a lower quartile, since whatever disturbs it makes it slower.
//! - Boxes are merged by medians, each with the weight of what it has seen.
//! - What was seen stays through idle minutes: only newer runs take its place.

mod demand;
mod observer;

pub use demand::Demand;
pub use demand::EngineSize;
pub use demand::Rates;
pub use observer::Observer;
pub use observer::Run;
pub use observer::Speeds;
pub use observer::Totals;
pub use observer::merge;

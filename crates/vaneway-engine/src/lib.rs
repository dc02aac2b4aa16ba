//! Estimates how fast model engines process prompts and generate, from the runs that pass through,
//! and how many replicas a load needs. Without I/O.
//!
//! Why: engines differ a hundredfold in speed, slots and memory, and no configuration states how
//! fast they are. The time to a run's first event and the gaps between its later events are
//! observed anyway.
//!
//! Data flow: each entry box records the runs of a service in an [`Observer`] and sends the totals
//! of its work with its local estimate of the [`Speeds`]. A control box merges the speeds from all
//! boxes ([`merge`]) and calls [`Speeds::demand`] to get the number of replicas that the work
//! arriving per second keeps busy.
//!
//! How the estimates resist outliers:
//!
//! - The time per prompt token is the median slope over pairs of runs (Theil, "A rank-invariant
//!   method of linear and polynomial regression analysis", 1950; Sen, "Estimates of the regression
//!   coefficient based on Kendall's tau", 1968), so delays that don't depend on the prompt cancel
//!   out and up to a quarter of the runs may be arbitrarily slow.
//! - The gap between events is the lower quartile, since every disturbance lengthens it.
//! - Estimates from several boxes are merged by medians, weighted by the number of runs.
//! - Samples don't expire while a service is idle: only newer runs replace them.

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

//! Endpoint registry and routing decisions, without I/O.
//!
//! Why: every entry box must know which endpoints may take work, how much work it has given each
//! of them, and which one to choose next. These decisions are pure state, so that the daemon, the
//! tests and the benchmarks run the same code.
//!
//! Data flow: the owner builds a [`Pool`] from [`EndpointSpec`]s, reports what it sees of each
//! endpoint with [`Pool::handle`], asks [`Pool::choose`] where a request should go, and brackets
//! every attempt with [`Pool::begin_attempt`] and [`Pool::end_attempt`]. What an endpoint's change means for
//! running work comes back as [`Effect`]s. The life of an endpoint is the chart
//! `charts/endpoint.json`.

mod endpoint;
mod expected;
mod policy;
mod pool;
mod silence;

pub use endpoint::DecayingSum;
pub use endpoint::Endpoint;
pub use endpoint::EndpointAction;
pub use endpoint::EndpointEvent;
pub use endpoint::EndpointId;
pub use endpoint::EndpointSpec;
pub use endpoint::EndpointState;
pub use endpoint::Load;
pub use endpoint::PartId;
pub use endpoint::ServiceId;
pub use endpoint::endpoint_chart;
pub use expected::CACHED_PART_MAX_AGE;
pub use policy::Policy;
pub use policy::PromptPart;
pub use policy::Work;
pub use pool::Choice;
pub use pool::Effect;
pub use pool::Pool;
pub use pool::Query;
pub use pool::QueueLimit;
pub use silence::UNRESPONSIVE_THRESHOLD;

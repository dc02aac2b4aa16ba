//! Endpoint pool and routing decisions, without I/O.
//!
//! Why: every entry box must know which endpoints accept work, how much work it has sent to each of
//! them, and which one to choose next. This crate performs no I/O, so that the daemon, the tests
//! and the benchmarks run the same code.
//!
//! Data flow: the caller builds a [`Pool`] from [`EndpointSpec`]s, reports events at each endpoint
//! with [`Pool::handle`], calls [`Pool::choose`] to select the endpoint of a request, and calls
//! [`Pool::begin_attempt`] and [`Pool::end_attempt`] around every attempt. The consequences of an
//! endpoint's state change for running work are returned as [`Effect`]s. The states of an endpoint
//! are defined by the state chart `charts/endpoint.json`. [`ServicePaths`] determines whether this box
//! reaches a service's endpoints at all.

mod competitors;
mod endpoint;
mod expected;
mod fair_share;
mod fitting;
mod policy;
mod pool;
mod service_path;
mod shortage;
mod silence;
mod standing;
mod zones;

pub use competitors::Arrival;
pub use competitors::Competitors;
pub use competitors::Rank;
pub use endpoint::DecayingSum;
pub use endpoint::Endpoint;
pub use endpoint::EndpointAction;
pub use endpoint::EndpointEvent;
pub use endpoint::EndpointId;
pub use endpoint::EndpointSpec;
pub use endpoint::EndpointState;
pub use endpoint::Load;
pub use endpoint::NEIGHBOUR_SERVICE;
pub use endpoint::PartId;
pub use endpoint::ServiceId;
pub use endpoint::endpoint_chart;
pub use expected::CACHED_PART_MAX_AGE;
pub use fair_share::Claim;
pub use fair_share::FairShares;
pub use fitting::FittingCounts;
pub use policy::Policy;
pub use policy::PromptPart;
pub use policy::Work;
pub use pool::Choice;
pub use pool::Effect;
pub use pool::NeighbourQuery;
pub use pool::Pool;
pub use pool::Query;
pub use pool::VersionFilter;
pub use pool::VersionRule;
pub use service_path::PathAction;
pub use service_path::ServicePaths;
pub use service_path::path_chart;
pub use shortage::QueueLimit;
pub use silence::UNRESPONSIVE_THRESHOLD;
pub use standing::MIN_RANK_SHARE;
pub use standing::RankDemand;
pub use standing::Standing;
pub use zones::LeavingZone;
pub use zones::MessageSizes;
pub use zones::ZoneDecision;
pub use zones::ZoneLink;
pub use zones::ZonePair;
pub use zones::ZoneReason;

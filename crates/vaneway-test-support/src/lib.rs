//! Stand-in endpoints, platform and fault-injecting proxy for the tests and benchmarks.
//!
//! Every stand-in runs in a thread of its own with its own event loop, serves HTTP on an ephemeral
//! loopback port as docs/INTERFACES.md describes, and is deterministic for a given seed.
//! [`Deployment`] is the builder with which tests describe their setup: stand-ins, a settings
//! file and real `vaneway` processes.

pub mod caller;
pub mod closed_port;
pub mod configurations;
pub mod control_group;
pub mod deployment;
pub mod engine;
pub mod explorer;
pub mod fleet;
pub mod limits;
pub mod naming_control_box;
pub mod path_view;
pub mod plain_service;
pub mod platform;
pub mod ports;
pub mod process;
pub mod proxy;
pub mod raw_endpoint;
pub mod server;
pub mod several;
pub mod slow_readers;
pub mod soak;
pub mod standin;
pub mod stream_caller;
pub mod surplus_endpoint;
pub mod throttle;
pub mod unending_endpoint;
pub mod weight_store;
pub mod wire_control;
pub mod wire_endpoint;
pub mod wire_entry;

pub use caller::Caller;
pub use closed_port::ClosedPort;
pub use control_group::ControlGroup;
pub use deployment::Deployment;
pub use deployment::Replica;
pub use engine::Engine;
pub use engine::EngineOptions;
pub use fleet::Fleet;
pub use naming_control_box::AdvertisingControlBox;
pub use plain_service::PlainService;
pub use platform::CloudPlatform;
pub use process::Process;
pub use proxy::Proxy;
pub use raw_endpoint::RawEndpoint;
pub use several::EntryGroup;
pub use slow_readers::SlowReaders;
pub use stream_caller::StreamCaller;
pub use surplus_endpoint::SurplusEndpoint;
pub use throttle::Throttle;
pub use weight_store::WeightStore;
pub use wire_control::WireControl;
pub use wire_endpoint::WireEndpoint;
pub use wire_entry::WireEntry;

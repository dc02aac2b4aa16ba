//! The control box: its Raft group with the other control boxes, the configuration, the endpoint
//! registrations, and the duties of the leader.
//!
//! - [`machine`]: the replicated commands and the state that they produce, without I/O;
//! - [`store`]: the file with the persistent Raft state;
//! - [`group`]: drives the Raft node;
//! - [`memory`]: memory held by queued data;
//! - [`changes`]: the latest configuration changes;
//! - [`membership`]: which control boxes should be members of the Raft group, without I/O;
//! - [`links`]: connections opened by entry boxes and other control boxes;
//! - [`peers`]: connections opened to other control boxes;
//! - [`dissemination`]: forwards what this box learns about endpoints;
//! - [`entry_updates`]: sends entry boxes updates about each other;
//! - [`duties`]: the leader's duties towards the cloud;
//! - [`capacity`]: orders of replicas;
//! - [`cloud_calls`]: calls to the cloud, and whether this box may make them;
//! - [`remembered`]: the endpoints and entry boxes known before a power loss;
//! - [`clock`]: the cluster time;
//! - [`operations`]: operations for operators and endpoints, independent of the protocol;
//! - [`protocol`]: the traits of these protocols, and [`native`], the native ones;
//! - [`running`]: start and stop.

pub mod capacity;
pub mod changes;
pub mod clock;
pub mod cloud_calls;
pub mod dissemination;
pub mod duties;
pub mod entry_updates;
pub mod group;
pub mod links;
pub mod machine;
pub mod membership;
pub mod memory;
pub mod native;
pub mod neighbours;
pub mod operations;
pub mod peers;
pub mod protocol;
pub mod remembered;
pub mod rollouts;
pub mod running;
pub mod sizing;
pub mod state;
pub mod store;

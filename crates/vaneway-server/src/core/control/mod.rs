//! What a control box runs: the agreement with the other control boxes, the configuration, the
//! endpoints' registrations, and the duties of the one that leads.
//!
//! - [`machine`]: the commands that are agreed on and the state that they make, without I/O;
//! - [`store`]: the agreement's file;
//! - [`group`]: the agreement, driven;
//! - [`memory`]: bytes that wait, by what they wait for;
//! - [`changes`]: the latest changes of the configuration;
//! - [`membership`]: who should take part in it, without I/O;
//! - [`links`]: connections that entry boxes and other control boxes open to it;
//! - [`peers`]: connections that it opens to other control boxes;
//! - [`dissemination`]: what it passes on of what it hears of endpoints;
//! - [`entry_updates`]: what entry boxes are told of each other over them;
//! - [`duties`]: what the leader does towards the cloud;
//! - [`capacity`]: orders of replicas;
//! - [`remembered`]: what a control box remembers over a loss of power;
//! - [`clock`]: the cluster's time;
//! - [`operations`]: what operators and endpoints ask for, whatever protocol they speak;
//! - [`protocol`]: what they speak, and [`native`], the product's own;
//! - [`running`]: start and stop.

pub mod capacity;
pub mod changes;
pub mod clock;
pub mod dissemination;
pub mod duties;
pub mod entry_updates;
pub mod group;
pub mod links;
pub mod machine;
pub mod membership;
pub mod memory;
pub mod native;
pub mod operations;
pub mod peers;
pub mod protocol;
pub mod remembered;
pub mod running;
pub mod state;
pub mod store;

//! vaneway: a serving system for reclaimable boxes.
//!
//! Operators run a few large, fragile endpoints on boxes that the cloud reclaims at short notice.
//! This library implements everything between callers and those endpoints; the daemon `vaneway` and
//! the operators' client `vanectl` are thin programs on top of it.
//!
//! Structure:
//!
//! - [`core`]: the logic of entry boxes and control boxes, by subject;
//! - [`ops`]: the operations behind the programs' subcommands, one in each file;
//! - [`util`]: general-purpose helpers, independent of the serving logic;
//! - [`proto`]: the operators' interface, generated from `proto/`;
//! - the packages in `crates/`: decision logic without I/O, which other programs can embed.
//!
//! Data flow of a request: a [`core::callers::protocol::CallerProtocol`] reads it and determines
//! its organisation and service; [`core::calls`] drives a `vaneway_relay::Relay` for it, which
//! selects endpoints through `vaneway_route::Pool` and starts attempts through
//! [`core::endpoints`], until the caller has received the complete response or one clear error.

pub mod core;
pub mod ops;
pub mod proto;
pub mod util;

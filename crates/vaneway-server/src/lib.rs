//! vaneway: a serving system for reclaimable boxes.
//!
//! Why: operators run a few large, fragile endpoints on boxes that the cloud takes back at short
//! notice. This library holds everything that stands between callers and those endpoints; the
//! daemon `vaneway` and the operators' client `vanectl` are thin programs over it.
//!
//! Where things are:
//!
//! - [`core`]: what entry and control boxes do, by subject;
//! - [`ops`]: one operation a file, as the programs' subcommands call them;
//! - [`util`]: helpers that know nothing of the product;
//! - [`proto`]: the operators' schema, generated from `proto/`;
//! - the packages in `crates/`: decisions without I/O that others can embed.
//!
//! Data flow of a request: a [`core::callers::protocol::CallerProtocol`] reads it and finds its
//! organisation and service, [`core::calls`] drives a `vaneway_relay::Relay` for it, which asks
//! `vaneway_route::Pool` for endpoints and [`core::endpoints`] for attempts, until the caller has
//! the whole answer or one clear error.

pub mod core;
pub mod ops;
pub mod proto;
pub mod util;

//! Agreement on a replicated log, without I/O.
//!
//! Why: claims, configuration and orders must be the same on every control box and must survive
//! any minority of them. The boxes agree on one log of commands by the rules of Raft (Ongaro and
//! Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), with pre-vote, check
//! quorum, leader leases, learners and single-step membership changes (Ongaro, "Consensus:
//! Bridging Theory and Practice", 2014, chapters 4, 6 and 9).
//!
//! Data flow: the owner feeds a [`Node`] with [`Event`]s (a message, a timer, a proposal, the news
//! that something is durable) and carries out the [`Action`]s that come back. Whatever depends on
//! durability is held inside the node until [`Event::Persisted`] says so; the owner may sync when
//! it likes and in batches, but must persist in order.
//!
//! Entries for which the owner has its state are replaced by a [`Snapshot`] of it (chapter 5), which
//! members that lack them get in their place.
//!
//! - `event`: what happens and what to do;
//! - `log`: the entries and the members that they name;
//! - `message`: what nodes send each other;
//! - `node`: the roles and their rules.

mod event;
mod log;
mod message;
mod node;

pub use event::Action;
pub use event::Config;
pub use event::DurableState;
pub use event::Event;
pub use event::MemberChange;
pub use event::Persist;
pub use event::Refusal;
pub use event::Role;
pub use event::Rule;
pub use log::Entry;
pub use log::Log;
pub use log::Members;
pub use log::Payload;
pub use log::Snapshot;
pub use message::Append;
pub use message::AppendReply;
pub use message::Install;
pub use message::Message;
pub use node::Node;

/// Names a node; a node that lost its disk comes back under another id.
pub type NodeId = u64;

/// Number of a leader's time in office.
pub type Term = u64;

/// Position in the log, from 1.
pub type Index = u64;

/// Names a proposal, by the owner's choice.
pub type ProposalId = u64;

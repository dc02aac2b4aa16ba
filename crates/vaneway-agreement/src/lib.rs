//! Consensus on a replicated log, without I/O.
//!
//! Claims, configuration and orders must be the same on every control box and must survive the loss
//! of any minority of them. The boxes replicate one log of commands by the rules of Raft (Ongaro
//! and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), with pre-vote,
//! check quorum, leader leases, learners and single-server membership changes (Ongaro, "Consensus:
//! Bridging Theory and Practice", 2014, chapters 4, 6 and 9).
//!
//! Data flow: the owner feeds a [`Node`] with [`Event`]s (a message, a timer, a proposal, or a
//! completed write) and carries out the [`Action`]s that it returns. The node holds back whatever
//! depends on durability until [`Event::Persisted`] confirms it. The owner may sync to disk at any
//! time and in batches, but must persist in order.
//!
//! Entries that the owner's state covers are replaced by a [`Snapshot`] of that state (chapter 5).
//! Members that lack these entries receive the snapshot instead.
//!
//! - `event`: events, actions, and the persistent state;
//! - `log`: the entries, and the members that they define;
//! - `message`: messages between nodes;
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

/// Id of a node. A node that lost its disk comes back under another id.
pub type NodeId = u64;

/// Raft term: rises by one with each election.
pub type Term = u64;

/// Position in the log, starting at 1.
pub type Index = u64;

/// Id of a proposal, chosen by the owner.
pub type ProposalId = u64;

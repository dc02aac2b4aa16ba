//! Who should take part in the agreement, without I/O.
//!
//! Why it is decided here and not by operators: a control box that lost its disk comes back under
//! a new node id and has to vote again soon, since the next box may be lost right after; one that
//! is replaced comes up at another address. The leader makes one change at a time, in this order:
//! let newcomers learn, let learners that have caught up vote, take out voters that are surely
//! gone.
//!
//! A voter is surely gone once another member runs at its address: the box's disk is empty, so it
//! can never be that node again. One that is only silent is taken out when that makes the group
//! safer: enough others are there, and it has been replaced (an even number of voters bears no
//! more losses than one fewer) or is silent for long. If it comes back, it joins again.

use std::time::Duration;

use vaneway_agreement::MemberChange;
use vaneway_agreement::NodeId;

/// Silence after which a voter that was replaced is taken out.
const REPLACED_VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Silence after which a voter is taken out if the others are enough.
const VOTER_TIMEOUT: Duration = Duration::from_secs(20);

/// Silence after which a learner is taken out.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Voters that must be there besides one that is taken out: they bear the loss of one more.
const MIN_LIVE_VOTERS: usize = 3;

/// What the leader knows of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its node.
    pub node: NodeId,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it has everything that is committed.
    pub caught_up: bool,
    /// Time since it last answered.
    pub unresponsive_for: Duration,
}

/// Time for which a member that answers regularly may be silent.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1_200);

/// The next change that the leader should make, if any.
pub fn next_change(
    leader: NodeId,
    members: &[MemberStatus],
    joining: &[NodeId],
) -> Option<MemberChange> {
    let is_member = |node: NodeId| members.iter().any(|member| member.node == node);
    if let Some(node) = joining.iter().find(|node| !is_member(**node)) {
        return Some(MemberChange::AddLearner(*node));
    }
    let ready = |m: &&MemberStatus| !m.voter && m.caught_up && m.unresponsive_for < MAX_REPLY_AGE;
    if let Some(member) = members.iter().find(ready) {
        return Some(MemberChange::Promote(member.node));
    }
    members
        .iter()
        .find(|member| member.node != leader && is_gone(member, members))
        .map(|member| MemberChange::Remove(member.node))
}

fn is_gone(member: &MemberStatus, members: &[MemberStatus]) -> bool {
    if !member.voter {
        return member.unresponsive_for > LEARNER_TIMEOUT;
    }
    let is_successor = |other: &MemberStatus| {
        other.voter
            && other.node != member.node
            && address_bits(other.node) == address_bits(member.node)
            && other.unresponsive_for < MAX_REPLY_AGE
    };
    if members.iter().any(is_successor) && member.unresponsive_for > MAX_REPLY_AGE {
        return true;
    }
    let voters = members.iter().filter(|member| member.voter).count();
    let live = members.iter().filter(|m| m.voter && m.unresponsive_for < MAX_REPLY_AGE).count();
    let replaced = voters.is_multiple_of(2) && member.unresponsive_for > REPLACED_VOTER_TIMEOUT;
    live >= MIN_LIVE_VOTERS && (replaced || member.unresponsive_for > VOTER_TIMEOUT)
}

/// Part of a node id that holds the box's address; see [`super::state::node_id`].
fn address_bits(node: NodeId) -> u64 {
    node >> u32::BITS
}

//! Determines which control boxes should be members of the Raft group, without I/O.
//!
//! This is automatic and not left to operators: a control box that lost its disk returns under a
//! new node id and must vote again soon, since another box may fail right after; one that is
//! replaced returns at another address. The leader makes one change at a time, in this order: add
//! new nodes as learners, promote learners that have caught up, remove voters that are gone.
//!
//! A voter is certainly gone once another voter runs at its address: the disk of that box was lost,
//! so it can never be the old node again. A voter that merely does not respond is removed if that
//! makes the group safer: enough others respond, and it has been replaced (an even number of voters
//! tolerates no more failures than one fewer) or has not responded for long. If it returns, it
//! joins again.

use std::time::Duration;

use vaneway_agreement::MemberChange;
use vaneway_agreement::NodeId;

/// Time without a response after which a voter that was replaced is removed.
const REPLACED_VOTER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a response after which a voter is removed if enough others respond.
const VOTER_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without a response after which a learner is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum number of responding voters besides one that is removed: they tolerate the failure of
/// one more.
const MIN_LIVE_VOTERS: usize = 3;

/// The leader's view of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberStatus {
    /// Its node id.
    pub node: NodeId,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it has all committed entries.
    pub caught_up: bool,
    /// Time since it last answered.
    pub unresponsive_for: Duration,
}

/// Maximum time since the last answer of a member that counts as responding.
const MAX_REPLY_AGE: Duration = Duration::from_millis(1_200);

/// The next membership change that the leader should make, if any.
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

/// The part of a node id that holds the box's address; see [`super::state::node_id`].
fn address_bits(node: NodeId) -> u64 {
    node >> u32::BITS
}

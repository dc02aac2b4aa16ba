//! Gossip of marks for leaving instances, by push and anti-entropy, without I/O.
//!
//! The cloud's notice that a box will be reclaimed may reach only one entry box, but every entry
//! box must stop sending work there within seconds, although datagrams are lost and an entry box
//! may have been down when the notice arrived.
//!
//! Data flow: a node that records a new mark pushes it to some of its peers at once, and each peer
//! to which it is new pushes it on. At every tick a node sends a digest of its marks to a few
//! random peers (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). A
//! peer whose digest differs answers with all its marks and its own digest, so that it receives the
//! sender's marks as well. A node that starts sends [`Message::Hello`] to every peer and receives
//! all their marks.
//!
//! A mark is for one instance of a box, so it cannot affect the box's next instance. Marks are only
//! added, the earlier time wins, and each mark is removed some time after its box is gone. So
//! datagrams may be lost, repeated and reordered.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;

/// Index of a peer in the settings.
pub type PeerId = usize;

/// Interval at which [`Marks::tick`] is called.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Number of peers that a new mark is pushed to. If there are no more peers than that, all of them
/// receive it from the first box.
const PUSH_FANOUT: usize = 8;

/// Number of peers that receive a digest at each tick.
pub const DIGEST_FANOUT: usize = 2;

/// Maximum number of marks in a message. They fill about half of the smallest datagram that every
/// network carries.
const MAX_MARKS_PER_MESSAGE: usize = 8;

/// How long a mark is kept after its box is gone: longer than the lag of the platform's list.
const MARK_RETENTION: Duration = Duration::from_mins(10);

/// Identifies one instance of a box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the box on the platform.
    pub box_name: String,
    /// The platform's id of the instance.
    pub instance: String,
}

/// A mark as it is sent. Times are relative, since the boxes' clocks may differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// The marked instance.
    pub instance: Instance,
    /// Milliseconds until the instance is gone.
    pub gone_in_ms: u64,
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has started and requests all marks.
    Hello,
    /// Marks of the sender.
    Push {
        /// Up to `MAX_MARKS_PER_MESSAGE` marks.
        marks: Vec<Mark>,
    },
    /// Digest of all marks of the sender.
    Digest {
        /// Hash of the marked instances.
        digest: u64,
        /// Whether it answers another digest, so that it is not answered by a digest again.
        answers: bool,
    },
}

/// An action that the owner must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// Receiver of the message.
        to: PeerId,
        /// The message.
        message: Message,
    },
    /// Apply a mark received from a peer that is new here or has an earlier time than before.
    Apply {
        /// The marked instance.
        instance: Instance,
        /// When the instance is gone.
        gone_at: Instant,
    },
}

/// The marks known at one node.
#[derive(Debug)]
pub struct Marks {
    peers: usize,
    known: BTreeMap<Instance, Instant>,
    rng: Pcg64Mcg,
}

impl Marks {
    /// An empty set of marks at a node with `peers` peers; random numbers are seeded with `seed`.
    pub fn new(peers: usize, seed: u64) -> Self {
        Self { peers, known: BTreeMap::new(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Number of marks.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Starts the protocol: sends [`Message::Hello`] to every peer.
    pub fn start(&mut self, out: &mut Vec<Action>) {
        out.extend((0..self.peers).map(|to| Action::Send { to, message: Message::Hello }));
    }

    /// Records a mark that this box has applied itself, for example from the platform's notice.
    /// Returns true if it is new; it is then pushed to peers.
    pub fn record(
        &mut self,
        now: Instant,
        instance: &Instance,
        gone_at: Instant,
        out: &mut Vec<Action>,
    ) -> bool {
        if !self.add(instance, gone_at) {
            return false;
        }
        let mark = Mark { instance: instance.clone(), gone_in_ms: millis_until(now, gone_at) };
        for to in self.random_peers(PUSH_FANOUT) {
            out.push(Action::Send { to, message: Message::Push { marks: vec![mark.clone()] } });
        }
        true
    }

    /// Handles a message.
    pub fn handle(&mut self, now: Instant, from: PeerId, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Hello => self.send_all(now, from, out),
            Message::Push { marks } => {
                for mark in marks {
                    let gone_at = now + Duration::from_millis(mark.gone_in_ms);
                    if self.record(now, &mark.instance, gone_at, out) {
                        out.push(Action::Apply { instance: mark.instance, gone_at });
                    }
                }
            }
            Message::Digest { digest, answers } => {
                let own = self.digest();
                if own == digest {
                    return;
                }
                self.send_all(now, from, out);
                if !answers {
                    let message = Message::Digest { digest: own, answers: true };
                    out.push(Action::Send { to: from, message });
                }
            }
        }
    }

    /// Removes old marks and sends a digest to a few random peers.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.known.retain(|_, gone_at| now < *gone_at + MARK_RETENTION);
        let message = Message::Digest { digest: self.digest(), answers: false };
        for to in self.random_peers(DIGEST_FANOUT) {
            out.push(Action::Send { to, message: message.clone() });
        }
    }

    /// Adds a mark; returns false if it is known already. The times differ slightly by the network
    /// delay, so a known mark changes only if its time is earlier by more than that.
    fn add(&mut self, instance: &Instance, gone_at: Instant) -> bool {
        /// Difference that the network delay can explain.
        const TOLERANCE: Duration = Duration::from_millis(500);
        match self.known.get_mut(instance) {
            Some(known) if gone_at + TOLERANCE >= *known => false,
            Some(known) => {
                *known = gone_at;
                true
            }
            None => {
                self.known.insert(instance.clone(), gone_at);
                true
            }
        }
    }

    /// Hash of the marked instances, without their times.
    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for instance in self.known.keys() {
            instance.hash(&mut hasher);
        }
        hasher.finish()
    }

    fn send_all(&self, now: Instant, to: PeerId, out: &mut Vec<Action>) {
        let marks: Vec<Mark> = self
            .known
            .iter()
            .map(|(instance, gone_at)| Mark {
                instance: instance.clone(),
                gone_in_ms: millis_until(now, *gone_at),
            })
            .collect();
        for marks in marks.chunks(MAX_MARKS_PER_MESSAGE) {
            out.push(Action::Send { to, message: Message::Push { marks: marks.to_vec() } });
        }
    }

    /// Up to `count` distinct random peers.
    fn random_peers(&mut self, count: usize) -> Vec<PeerId> {
        let mut peers: Vec<PeerId> = (0..self.peers).collect();
        let count = count.min(peers.len());
        for i in 0..count {
            let other = self.rng.random_range(i..peers.len());
            peers.swap(i, other);
        }
        peers.truncate(count);
        peers
    }
}

fn millis_until(now: Instant, at: Instant) -> u64 {
    at.saturating_duration_since(now).as_millis() as u64
}

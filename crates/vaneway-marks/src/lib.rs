//! Leaving marks spread between boxes by push and anti-entropy, without I/O.
//!
//! Why: the cloud's notice that a box will be taken back may reach one entry box only, and every
//! entry box must stop sending work there within seconds, although datagrams are lost and an entry
//! box may have been down when the notice came.
//!
//! Data flow: whoever learns of a mark first pushes it to its peers at once; whoever hears of it
//! for the first time pushes it on. At every tick a node sends a digest of its marks to a few
//! random peers (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987);
//! a peer whose digest differs answers with all its marks and asks for the other's. A node that
//! starts says hello to every peer and gets all their marks.
//!
//! A mark names an instance of a box, so it can't hurt the box's next instance. Marks are only
//! added, the earlier time wins, and each is forgotten some time after its box is gone; so
//! datagrams may be lost, repeated and reordered freely.

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

/// Position of a peer in the settings.
pub type PeerId = usize;

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Peers that a new mark is pushed to; fewer boxes than that hear it from the first one.
const PUSH_FANOUT: usize = 8;

/// Peers that get a digest at each tick.
pub const DIGEST_FANOUT: usize = 2;

/// Marks in one message: about half of the smallest datagram that every network carries.
const MAX_MARKS_PER_MESSAGE: usize = 8;

/// How long a mark is kept after its box is gone: longer than the platform's list lags.
const MARK_RETENTION: Duration = Duration::from_mins(10);

/// Names one life of a box.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The box, as the platform names it.
    pub box_name: String,
    /// The platform's id of the instance.
    pub instance: String,
}

/// A mark as it travels. Times are relative, since the boxes' clocks may differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// What is marked.
    pub instance: Instance,
    /// Milliseconds until it is gone.
    pub gone_in_ms: u64,
}

/// What nodes send each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// I have started: send me your marks.
    Hello,
    /// Some marks.
    Push {
        /// The marks.
        marks: Vec<Mark>,
    },
    /// All that I have comes to this.
    Digest {
        /// Digest of the marked instances.
        digest: u64,
        /// Whether it answers another digest.
        answers: bool,
    },
}

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// To whom.
        to: PeerId,
        /// The message.
        message: Message,
    },
    /// Apply a mark that a peer told and that is new here, or whose time came forward.
    Apply {
        /// What is marked.
        instance: Instance,
        /// When it is gone.
        gone_at: Instant,
    },
}

/// The marks that one node knows.
#[derive(Debug)]
pub struct Marks {
    peers: usize,
    known: BTreeMap<Instance, Instant>,
    rng: Pcg64Mcg,
}

impl Marks {
    /// No marks yet, among so many peers; random numbers come from `seed`.
    pub fn new(peers: usize, seed: u64) -> Self {
        Self { peers, known: BTreeMap::new(), rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// How many marks are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no mark is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Begins: says hello to every peer.
    pub fn start(&mut self, out: &mut Vec<Action>) {
        out.extend((0..self.peers).map(|to| Action::Send { to, message: Message::Hello }));
    }

    /// Learns of a mark that this box has applied itself, for example from the platform; true if
    /// it is news, which is pushed on.
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

    /// Applies a message.
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

    /// Time passes: forgets old marks and compares with a few peers.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.known.retain(|_, gone_at| now < *gone_at + MARK_RETENTION);
        let message = Message::Digest { digest: self.digest(), answers: false };
        for to in self.random_peers(DIGEST_FANOUT) {
            out.push(Action::Send { to, message: message.clone() });
        }
    }

    /// Adds a mark; false if it says nothing new. Times differ a little by the way a mark took,
    /// so only one that comes forward by more than that is news.
    fn add(&mut self, instance: &Instance, gone_at: Instant) -> bool {
        /// Difference that the time on the way can explain.
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

    /// Digest of the marked instances, without their times.
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

    /// Up to `count` different peers at random.
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

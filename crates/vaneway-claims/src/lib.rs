//! Ledger of calls that may run at most once, without I/O.
//!
//! Why: a payment confirmation that is sent twice pays twice. Before such a call is sent to an
//! endpoint, its key is claimed, and the claim is durable; afterwards its answer is kept, so that
//! a repeat gets the answer of the first run and never causes a second.
//!
//! Data flow: every change is a [`Command`]. The owner makes it durable first and then applies it
//! with [`Ledger::apply`], in one order; the [`Reply`] to a claim says whether the call may be
//! sent. Replaying the same commands gives the same ledger, on this box after a restart and,
//! with an agreed log, on every box.
//!
//! A claim whose holder is gone is never granted anew: its outcome is unknown, and stays so.
//!
//! ```
//! use vaneway_claims::{Claim, ClaimKey, Command, Ledger, Reply};
//!
//! let key = ClaimKey { organisation: "members".into(), key: "k1".into() };
//! let claim = Claim { key: key.clone(), digest: [7; 32], holder: 1, at_ms: 0 };
//! let mut ledger = Ledger::new();
//! assert_eq!(ledger.apply(Command::Claim(claim.clone())), Reply::Granted);
//! assert_eq!(ledger.apply(Command::Claim(claim)), Reply::Running);
//! ```

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Names the process that holds a claim; never the same after a restart.
pub type Holder = u64;

/// Milliseconds since 1970, by the clock of whoever proposed the command.
pub type Millis = u64;

/// Digest of a request: method, path and body.
pub type Digest = [u8; 32];

/// What a claim is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation that sent the call.
    pub organisation: String,
    /// The call's `Idempotency-Key`.
    pub key: String,
}

/// A wish to send a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What the claim is for.
    pub key: ClaimKey,
    /// Digest of the request, so that a key can't be used for two.
    pub digest: Digest,
    /// Who wants to send it.
    pub holder: Holder,
    /// When, for the retention.
    pub at_ms: Millis,
}

/// The answer that was given to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if there was one.
    pub content_type: Option<String>,
    /// The body; none if it was too long to be kept.
    pub body: Option<Vec<u8>>,
}

/// A change of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Claims a key.
    Claim(Claim),
    /// Keeps the answer of a call that ran.
    Answer {
        /// The claim's key.
        key: ClaimKey,
        /// The answer.
        answer: KeptAnswer,
    },
    /// Notes that nobody knows whether a call ran.
    Unknown {
        /// The claim's key.
        key: ClaimKey,
    },
    /// Gives up a claim whose call was certainly not run.
    Release {
        /// The claim's key.
        key: ClaimKey,
        /// Who held it.
        holder: Holder,
    },
    /// Notes that no holder but this one is alive: the outcome of the others' calls is unknown.
    OnlyHolder {
        /// The holder that is alive.
        holder: Holder,
    },
    /// Forgets everything that was claimed before this time and is not running.
    Expire {
        /// The time.
        before_ms: Millis,
    },
}

/// What a [`Command`] came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The claim is the holder's: the call may be sent once.
    Granted,
    /// The call is under way.
    Running,
    /// The call ran, and this was its answer.
    Answered(KeptAnswer),
    /// Nobody knows whether the call ran.
    Unknown,
    /// The key was used for another request.
    OtherRequest,
    /// Any other command was applied.
    Applied,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running(Holder),
    Answered(KeptAnswer),
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: Digest,
    at_ms: Millis,
    state: State,
}

/// All claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    entries: BTreeMap<ClaimKey, Entry>,
}

impl Ledger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What a claim would come to now; none if it would be granted.
    pub fn lookup(&self, key: &ClaimKey, digest: &Digest) -> Option<Reply> {
        let entry = self.entries.get(key)?;
        if entry.digest != *digest {
            return Some(Reply::OtherRequest);
        }
        Some(match &entry.state {
            State::Running(_) => Reply::Running,
            State::Answered(answer) => Reply::Answered(answer.clone()),
            State::Unknown => Reply::Unknown,
        })
    }

    /// The oldest claim's time among those that are not running.
    pub fn oldest_ms(&self) -> Option<Millis> {
        let done = self.entries.values().filter(|e| !matches!(e.state, State::Running(_)));
        done.map(|entry| entry.at_ms).min()
    }

    /// Applies a command that is durable.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Claim(claim) => return self.claim(claim),
            Command::Answer { key, answer } => self.end(&key, State::Answered(answer)),
            Command::Unknown { key } => self.end(&key, State::Unknown),
            Command::Release { key, holder } => {
                let held = self.entries.get(&key).map(|entry| &entry.state);
                if held == Some(&State::Running(holder)) {
                    self.entries.remove(&key);
                }
            }
            Command::OnlyHolder { holder } => {
                for entry in self.entries.values_mut() {
                    if matches!(entry.state, State::Running(other) if other != holder) {
                        entry.state = State::Unknown;
                    }
                }
            }
            Command::Expire { before_ms } => self.entries.retain(|_, entry| {
                entry.at_ms >= before_ms || matches!(entry.state, State::Running(_))
            }),
        }
        Reply::Applied
    }

    fn claim(&mut self, claim: Claim) -> Reply {
        if let Some(reply) = self.lookup(&claim.key, &claim.digest) {
            return reply;
        }
        let Claim { key, digest, holder, at_ms } = claim;
        self.entries.insert(key, Entry { digest, at_ms, state: State::Running(holder) });
        Reply::Granted
    }

    /// Ends a call that is running; a call that ended stays as it ended.
    fn end(&mut self, key: &ClaimKey, state: State) {
        if let Some(entry) = self.entries.get_mut(key)
            && matches!(entry.state, State::Running(_))
        {
            entry.state = state;
        }
    }
}

impl Command {
    /// The command's bytes.
    ///
    /// # Panics
    ///
    /// Never: every command can be written.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every command can be written")
    }

    /// Reads a command.
    ///
    /// # Errors
    ///
    /// If the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Ledger {
    /// The ledger's bytes, for a snapshot.
    ///
    /// # Panics
    ///
    /// Never: every ledger can be written.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every ledger can be written")
    }

    /// Reads a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not a ledger.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

//! Ledger of calls that may run at most once, without I/O.
//!
//! A payment confirmation that is sent twice pays twice. Before such a call is sent to an endpoint,
//! its idempotency key is claimed durably. Afterwards its response is stored, so that a repeated
//! call gets the response of the first run and never causes a second run.
//!
//! Data flow: every change is a [`Command`]. The owner first makes it durable and then applies it
//! with [`Ledger::apply`], always in the same order; the [`Reply`] to a claim says whether the call
//! may be sent. Replaying the same commands gives the same ledger: on this box after a restart, and
//! on every box if the boxes share a replicated log.
//!
//! A claim whose holder no longer runs is never granted again: its outcome is unknown and stays so.
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

/// Id of the process that holds a claim; a restarted process has another one.
pub type Holder = u64;

/// Milliseconds since the Unix epoch, by the clock of the process that proposed the command.
pub type Millis = u64;

/// Digest of a request: method, path and body.
pub type Digest = [u8; 32];

/// Identifies the call that a claim is for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The organisation that sent the call.
    pub organisation: String,
    /// The call's `Idempotency-Key`.
    pub key: String,
}

/// A request for the right to send a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The call.
    pub key: ClaimKey,
    /// Digest of the request, so that one key can't be used for two requests.
    pub digest: Digest,
    /// The process that will send it.
    pub holder: Holder,
    /// When the claim was proposed; its retention counts from here.
    pub at_ms: Millis,
}

/// The stored response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if present.
    pub content_type: Option<String>,
    /// The body; none if it was too long to be stored.
    pub body: Option<Vec<u8>>,
}

/// A change of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Claims a key.
    Claim(Claim),
    /// Stores the response to a call that ran.
    Answer {
        /// The claim's key.
        key: ClaimKey,
        /// The response.
        answer: StoredResponse,
    },
    /// Records that it can't be known whether a call ran.
    Unknown {
        /// The claim's key.
        key: ClaimKey,
    },
    /// Releases a claim whose call was certainly not run.
    Release {
        /// The claim's key.
        key: ClaimKey,
        /// The process that held it.
        holder: Holder,
    },
    /// Records that this is the only holder still running: the outcome of all running calls of
    /// other holders is unknown.
    OnlyHolder {
        /// The holder that is running.
        holder: Holder,
    },
    /// Removes all claims that were made before this time and whose call is not running.
    Expire {
        /// The time.
        before_ms: Millis,
    },
}

/// Result of a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The claim was granted: its holder may send the call once.
    Granted,
    /// The call is running.
    Running,
    /// The call ran, and this was its response.
    Answered(StoredResponse),
    /// It can't be known whether the call ran.
    Unknown,
    /// The key was already used for another request.
    OtherRequest,
    /// A command other than a claim was applied.
    Applied,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    Running(Holder),
    Answered(StoredResponse),
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

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The reply that a claim would get now; none if it would be granted.
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

    /// Time of the oldest claim whose call is not running.
    pub fn oldest_ms(&self) -> Option<Millis> {
        let done = self.entries.values().filter(|e| !matches!(e.state, State::Running(_)));
        done.map(|entry| entry.at_ms).min()
    }

    /// Applies a command, which must be durable already.
    pub fn apply(&mut self, command: Command) -> Reply {
        match command {
            Command::Claim(claim) => return self.claim(claim),
            Command::Answer { key, answer } => self.finish(&key, State::Answered(answer)),
            Command::Unknown { key } => self.finish(&key, State::Unknown),
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

    /// Sets the final state of a running call; the state of a call that has ended doesn't change.
    fn finish(&mut self, key: &ClaimKey, state: State) {
        if let Some(entry) = self.entries.get_mut(key)
            && matches!(entry.state, State::Running(_))
        {
            entry.state = state;
        }
    }
}

impl Command {
    /// Encodes the command.
    ///
    /// # Panics
    ///
    /// Never: every command can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every command can be encoded")
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// If the bytes are not an encoded command.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

impl Ledger {
    /// Encodes the ledger, for a snapshot.
    ///
    /// # Panics
    ///
    /// Never: every ledger can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every ledger can be encoded")
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// If the bytes are not an encoded ledger.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

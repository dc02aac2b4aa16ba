//! The replicated commands, and the state machine that they are applied to, without I/O.
//!
//! Every control box applies the same commands in the same order, so the effect of a command may
//! depend on nothing else.

use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Deserialize;
use serde::Serialize;
use vaneway_ledger::Counts;
use vaneway_ledger::Window;
use vaneway_rollout::Applied;
use vaneway_rollout::Rollouts;
use vaneway_rollout::Step;

use crate::core::configuration::Configuration;

/// Number of usage reports that are kept: more than a new leader has to send again.
const RETAINED_REPORTS: usize = 32;

/// A replicated command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a configuration in force if its version is higher than that of the one in force.
    Configure(ConfigurationDocument),
    /// Fixes the counts that will be reported for a window, unless they are fixed already.
    FixUsage {
        /// The accounting window.
        window: Window,
        /// The requests of each organisation.
        counts: Counts,
    },
    /// A step of a roll-out.
    Rollout(Step),
}

/// A configuration with the document that it was parsed from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// The parsed configuration.
    pub configuration: Configuration,
    /// The source document, which is returned to operators in its original form.
    pub document: String,
}

impl Command {
    /// Encodes the command.
    ///
    /// # Panics
    ///
    /// Never: every command can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("commands can be encoded")
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid command, for example one of a later version of this program.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        postcard::from_bytes(bytes)
    }
}

/// The effect of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// No change.
    Unchanged,
    /// A new configuration is in force.
    Configured,
    /// The counts of this window are fixed.
    UsageFixed(Window),
    /// A roll-out has changed.
    RolloutChanged,
}

/// The replicated state.
#[derive(Debug, Clone, Default)]
pub struct StateMachine {
    configuration: Option<Rc<ConfigurationDocument>>,
    usage: BTreeMap<Window, Counts>,
    rollouts: Rollouts,
}

/// The state as encoded in a snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotState<H> {
    configuration: Option<H>,
    usage: BTreeMap<Window, Counts>,
}

impl StateMachine {
    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Effect {
        match command {
            Command::Configure(proposed) => {
                if proposed.configuration.version <= self.version() {
                    return Effect::Unchanged;
                }
                self.configuration = Some(Rc::new(proposed));
                Effect::Configured
            }
            Command::FixUsage { window, counts } => {
                if self.usage.contains_key(&window) {
                    return Effect::Unchanged;
                }
                self.usage.insert(window, counts);
                while self.usage.len() > RETAINED_REPORTS {
                    self.usage.pop_first();
                }
                Effect::UsageFixed(window)
            }
            Command::Rollout(step) => match self.rollouts.apply(step) {
                Applied::Changed => Effect::RolloutChanged,
                Applied::Unchanged | Applied::Conflict => Effect::Unchanged,
            },
        }
    }

    /// Encodes the state for a snapshot. Roll-outs follow the rest, if there ever were any: earlier
    /// versions of this program ignore what follows, and their snapshots end before it.
    ///
    /// # Panics
    ///
    /// Never: every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        let state = SnapshotState {
            configuration: self.configuration.as_deref(),
            usage: self.usage.clone(),
        };
        let mut bytes = postcard::to_stdvec(&state).expect("the state can be encoded");
        if !self.rollouts.is_empty() {
            let rollouts = postcard::to_stdvec(&self.rollouts).expect("roll-outs can be encoded");
            bytes.extend(rollouts);
        }
        bytes
    }

    /// Decodes the state of a snapshot.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid state, for example one of a later version of this program.
    pub fn decode(bytes: &[u8]) -> postcard::Result<Self> {
        let (state, rest) =
            postcard::take_from_bytes::<SnapshotState<ConfigurationDocument>>(bytes)?;
        let rollouts =
            if rest.is_empty() { Rollouts::default() } else { postcard::from_bytes(rest)? };
        Ok(Self { configuration: state.configuration.map(Rc::new), usage: state.usage, rollouts })
    }

    /// The configuration in force.
    pub fn current_configuration(&self) -> Option<&Rc<ConfigurationDocument>> {
        self.configuration.as_ref()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |current| current.configuration.version)
    }

    /// The last roll-out of each service.
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// The fixed counts by window.
    pub fn usage(&self) -> &BTreeMap<Window, Counts> {
        &self.usage
    }
}

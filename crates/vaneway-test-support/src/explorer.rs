//! A breadth-first model checker.
//!
//! A [`Model`] defines its initial states, the steps possible in a state, and the invariants. The
//! checker visits every state within its bounds once and reports the shortest path to a violated
//! invariant. Visited states are stored as 64-bit hashes: two states with the same hash count as
//! one, which can hide a state but never report a false violation.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher as _;
use std::hash::Hash;
use std::hash::RandomState;

/// A step with the state after it, or the invariant that it violates.
pub type Transition<M> = (<M as Model>::Step, Result<<M as Model>::State, String>);

/// A state machine to explore.
pub trait Model {
    /// A state of the whole model.
    type State: Clone + Hash;
    /// A step; its debug output is part of the report.
    type Step: Clone + fmt::Debug;

    /// The initial states.
    fn initial(&self) -> Vec<Self::State>;

    /// Every step possible in `state`, with the state after it or the invariant that it violates.
    fn next(&self, state: &Self::State) -> Vec<Transition<Self>>;
}

/// The result of an exploration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// Number of states visited.
    pub states: usize,
    /// Greatest number of steps from an initial state to a visited state.
    pub depth: usize,
    /// Whether every state within the model's own bounds was visited.
    pub complete: bool,
    /// The first violation found.
    pub fault: Option<Fault>,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Which invariant is violated, and how.
    pub what: String,
    /// The steps of the shortest path to the violation.
    pub steps: Vec<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, after:", self.what)?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        Ok(())
    }
}

/// The number of a state's predecessor and the step between them; none for an initial state.
type Origin<S> = Option<(usize, S)>;

/// Explores a model breadth first, up to `max_states` states.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Exploration {
    let hasher = RandomState::new();
    let mut seen = HashSet::new();
    let mut origins: Vec<Origin<M::Step>> = Vec::new();
    let mut queue = VecDeque::new();
    for state in model.initial() {
        if seen.insert(hasher.hash_one(&state)) {
            origins.push(None);
            queue.push_back((origins.len() - 1, 0, state));
        }
    }
    let mut depth = 0;
    while let Some((number, steps, state)) = queue.pop_front() {
        depth = steps;
        for (step, after) in model.next(&state) {
            let after = match after {
                Ok(after) => after,
                Err(what) => {
                    let mut steps = path_to(&origins, number);
                    steps.push(format!("{step:?}"));
                    let fault = Some(Fault { what, steps });
                    return Exploration { states: origins.len(), depth, complete: false, fault };
                }
            };
            if seen.insert(hasher.hash_one(&after)) {
                origins.push(Some((number, step)));
                queue.push_back((origins.len() - 1, steps + 1, after));
            }
            if origins.len() >= max_states {
                return Exploration { states: origins.len(), depth, complete: false, fault: None };
            }
        }
    }
    Exploration { states: origins.len(), depth, complete: true, fault: None }
}

fn path_to<S: fmt::Debug>(origins: &[Origin<S>], mut number: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while let Some((before, step)) = &origins[number] {
        steps.push(format!("{step:?}"));
        number = *before;
    }
    steps.reverse();
    steps
}

//! A breadth-first explorer of everything that can happen.
//!
//! A [`Model`] gives its first states, the steps that can follow a state, and what must always
//! hold. The explorer visits every state within its bounds once and reports the shortest way to
//! one where something does not hold. Visited states are kept as 64-bit hashes: two states that
//! share a hash are taken for one, which can hide a state but never invent a fault.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher as _;
use std::hash::Hash;
use std::hash::RandomState;

/// A step with the state after it, or the fault that it brought about.
pub type Transition<M> = (<M as Model>::Step, Result<<M as Model>::State, String>);

/// What is explored.
pub trait Model {
    /// One state of everything.
    type State: Clone + Hash;
    /// A step, for the report.
    type Step: Clone + fmt::Debug;

    /// Where exploring begins.
    fn initial(&self) -> Vec<Self::State>;

    /// Every step that can follow, with the state after it, or the fault that it brought about.
    fn next(&self, state: &Self::State) -> Vec<Transition<Self>>;
}

/// What exploring found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exploration {
    /// States visited.
    pub states: usize,
    /// Steps of the longest way.
    pub depth: usize,
    /// Whether every state within the model's own bounds was visited.
    pub complete: bool,
    /// A fault and the steps that lead to it.
    pub fault: Option<Fault>,
}

/// Something that must hold and does not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// What does not hold.
    pub what: String,
    /// The shortest way there.
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

/// Where a state came from: its predecessor's number and the step.
type Origin<S> = Option<(usize, S)>;

/// Visits up to `most` states.
pub fn explore<M: Model>(model: &M, most: usize) -> Exploration {
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
                    let mut steps = way(&origins, number);
                    steps.push(format!("{step:?}"));
                    let fault = Some(Fault { what, steps });
                    return Exploration { states: origins.len(), depth, complete: false, fault };
                }
            };
            if seen.insert(hasher.hash_one(&after)) {
                origins.push(Some((number, step)));
                queue.push_back((origins.len() - 1, steps + 1, after));
            }
            if origins.len() >= most {
                return Exploration { states: origins.len(), depth, complete: false, fault: None };
            }
        }
    }
    Exploration { states: origins.len(), depth, complete: true, fault: None }
}

fn way<S: fmt::Debug>(origins: &[Origin<S>], mut number: usize) -> Vec<String> {
    let mut steps = Vec::new();
    while let Some((before, step)) = &origins[number] {
        steps.push(format!("{step:?}"));
        number = *before;
    }
    steps.reverse();
    steps
}

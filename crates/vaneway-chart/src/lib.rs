//! State charts written in JSON, validated and compiled to a dense transition table.
//!
//! The life cycle of a request, an attempt or an endpoint is a small state machine that operators
//! and reviewers want to read without reading code. The chart file is the specification: the
//! program interprets it, and tests explore the same file.
//!
//! [`Chart::compile`] checks the JSON text of a chart against three enumerations that the program
//! defines with [`chart_names!`] (states, events, actions). It reports all findings at once, each
//! with its JSON path. The result is one table with a cell for each pair of state and event, so a
//! transition at run time is a single indexed load and allocates nothing.
//!
//! ```
//! use vaneway_chart::{chart_names, Chart};
//!
//! chart_names!(pub enum Light { Off = "off", On = "on" });
//! chart_names!(pub enum Press { Press = "press" });
//! chart_names!(pub enum Effect { Beep = "beep" });
//!
//! let text = r#"{
//!   "chart": "light", "initial": "off",
//!   "states": {
//!     "off": { "on": { "press": { "to": "on", "do": ["beep"] } } },
//!     "on":  { "on": { "press": { "to": "off" } } }
//!   }
//! }"#;
//! let chart: Chart<Light, Press, Effect> = Chart::compile(text)?;
//! let step = chart.step(chart.initial(), Press::Press);
//! assert_eq!(step.to, Light::On);
//! assert_eq!(step.actions, [Effect::Beep]);
//! # Ok::<(), vaneway_chart::ChartError>(())
//! ```

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

/// A value that a chart file refers to by name: a state, an event or an action.
pub trait ChartName: Copy + Eq + fmt::Debug + 'static {
    /// All values, in the order of [`ChartName::index`].
    const ALL: &'static [Self];

    /// The name used in the chart file.
    fn name(self) -> &'static str;

    /// The position of the value in [`ChartName::ALL`].
    fn index(self) -> usize;

    /// Finds the value that the chart file calls `name`.
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|value| value.name() == name)
    }
}

/// Defines an enumeration whose values have names in a chart file.
#[macro_export]
macro_rules! chart_names {
    ($(#[$meta:meta])* pub enum $type:ident {
        $($(#[$vmeta:meta])* $value:ident = $name:literal),+ $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $type {
            $(
                $(#[$vmeta])*
                #[doc = concat!("`", $name, "` in the chart.")]
                $value
            ),+
        }

        impl $crate::ChartName for $type {
            const ALL: &'static [Self] = &[$(Self::$value),+];

            fn name(self) -> &'static str {
                match self {
                    $(Self::$value => $name),+
                }
            }

            fn index(self) -> usize {
                self as usize
            }
        }
    };
}

/// One cell of the transition table: the target state of an event and the actions it triggers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step<S, A> {
    /// The state after the event.
    pub to: S,
    /// The actions to perform, in order.
    pub actions: Vec<A>,
    /// Whether the chart lists the event as ignored in this state.
    pub ignored: bool,
}

/// A validated and compiled chart.
#[derive(Debug, Clone)]
pub struct Chart<S, E, A> {
    name: String,
    initial: S,
    cells: Vec<Step<S, A>>,
    finals: Vec<bool>,
    events: std::marker::PhantomData<E>,
}

/// One problem found in a chart file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// JSON path of the problem, for example `$.states.serving.on.notice.to`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

/// All findings of one chart file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError {
    /// The findings, in the order in which they were detected.
    pub findings: Vec<Finding>,
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the state chart has {} findings", self.findings.len())?;
        for finding in &self.findings {
            write!(f, "\n{}: {}", finding.path, finding.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for ChartError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    chart: String,
    #[serde(default, rename = "about")]
    _about: String,
    initial: String,
    states: BTreeMap<String, StateFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default, rename = "about")]
    _about: String,
    #[serde(default)]
    on: BTreeMap<String, EdgeFile>,
    #[serde(default)]
    ignore: Vec<String>,
    #[serde(default, rename = "final")]
    is_final: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EdgeFile {
    to: String,
    #[serde(default, rename = "do")]
    actions: Vec<String>,
}

impl<S: ChartName, E: ChartName, A: ChartName> Chart<S, E, A> {
    /// Validates the JSON text of a chart and compiles it.
    ///
    /// # Errors
    ///
    /// [`ChartError`] lists every finding: names that the program does not define, states that are
    /// missing or unreachable, and events that a state neither handles nor ignores.
    pub fn compile(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile = match serde_json::from_str(text) {
            Ok(file) => file,
            Err(error) => {
                let findings = vec![Finding { path: "$".into(), message: error.to_string() }];
                return Err(ChartError { findings });
            }
        };
        Compiler::<S, E, A>::new().compile(file)
    }

    /// The chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Looks up the transition for `event` in `state`.
    pub fn step(&self, state: S, event: E) -> &Step<S, A> {
        &self.cells[state.index() * E::ALL.len() + event.index()]
    }

    /// Whether `state` is marked final, that is, has no outgoing transitions.
    pub fn is_final(&self, state: S) -> bool {
        self.finals[state.index()]
    }
}

struct Compiler<S, E, A> {
    findings: Vec<Finding>,
    cells: Vec<Option<Step<S, A>>>,
    finals: Vec<bool>,
    events: std::marker::PhantomData<E>,
}

impl<S: ChartName, E: ChartName, A: ChartName> Compiler<S, E, A> {
    fn new() -> Self {
        Self {
            findings: Vec::new(),
            cells: vec![None; S::ALL.len() * E::ALL.len()],
            finals: vec![false; S::ALL.len()],
            events: std::marker::PhantomData,
        }
    }

    fn report(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Finding { path: path.into(), message: message.into() });
    }

    fn lookup<N: ChartName>(&mut self, path: &str, kind: &str, name: &str) -> Option<N> {
        let found = N::from_name(name);
        if found.is_none() {
            let known: Vec<_> = N::ALL.iter().map(|value| value.name()).collect();
            self.report(path, format!("unknown {kind} `{name}`, known: {}", known.join(", ")));
        }
        found
    }

    fn compile(mut self, file: ChartFile) -> Result<Chart<S, E, A>, ChartError> {
        let initial = self.lookup::<S>("$.initial", "state", &file.initial);
        for (name, state) in &file.states {
            self.compile_state(name, state);
        }
        for &state in S::ALL {
            if !file.states.contains_key(state.name()) {
                self.report("$.states", format!("state `{}` is missing", state.name()));
            }
        }
        if self.findings.is_empty() {
            self.check_complete();
        }
        if let (Some(initial), true) = (initial, self.findings.is_empty()) {
            self.check_reachable(initial);
        }
        match initial {
            Some(initial) if self.findings.is_empty() => Ok(Chart {
                name: file.chart,
                initial,
                cells: self.cells.into_iter().flatten().collect(),
                finals: self.finals,
                events: std::marker::PhantomData,
            }),
            _ => Err(ChartError { findings: self.findings }),
        }
    }

    fn compile_state(&mut self, name: &str, file: &StateFile) {
        let path = format!("$.states.{name}");
        let Some(state) = self.lookup::<S>(&path, "state", name) else { return };
        self.finals[state.index()] = file.is_final;
        for (event_name, edge) in &file.on {
            self.compile_edge(state, &path, event_name, edge);
        }
        for (i, event_name) in file.ignore.iter().enumerate() {
            let path = format!("{path}.ignore[{i}]");
            let Some(event) = self.lookup::<E>(&path, "event", event_name) else { continue };
            let step = Step { to: state, actions: Vec::new(), ignored: true };
            self.set_cell(&path, state, event, step);
        }
        if file.is_final && !file.on.is_empty() {
            self.report(format!("{path}.on"), "a final state can't handle events; ignore them");
        }
    }

    fn compile_edge(&mut self, state: S, path: &str, event_name: &str, edge: &EdgeFile) {
        let path = format!("{path}.on.{event_name}");
        let event = self.lookup::<E>(&path, "event", event_name);
        let to = self.lookup::<S>(&format!("{path}.to"), "state", &edge.to);
        let mut actions = Vec::new();
        for (i, name) in edge.actions.iter().enumerate() {
            actions.extend(self.lookup::<A>(&format!("{path}.do[{i}]"), "action", name));
        }
        if let (Some(event), Some(to)) = (event, to) {
            self.set_cell(&path, state, event, Step { to, actions, ignored: false });
        }
    }

    fn set_cell(&mut self, path: &str, state: S, event: E, step: Step<S, A>) {
        let cell = &mut self.cells[state.index() * E::ALL.len() + event.index()];
        if cell.is_some() {
            self.report(path, format!("event `{}` is listed twice here", event.name()));
        } else {
            *cell = Some(step);
        }
    }

    fn check_complete(&mut self) {
        for &state in S::ALL {
            for &event in E::ALL {
                if self.cells[state.index() * E::ALL.len() + event.index()].is_none() {
                    let path = format!("$.states.{}", state.name());
                    let message = format!("handle or ignore event `{}`", event.name());
                    self.report(path, message);
                }
            }
        }
    }

    fn check_reachable(&mut self, initial: S) {
        let mut seen = vec![false; S::ALL.len()];
        let mut todo = vec![initial];
        while let Some(state) = todo.pop() {
            if std::mem::replace(&mut seen[state.index()], true) {
                continue;
            }
            let row = state.index() * E::ALL.len();
            todo.extend(self.cells[row..row + E::ALL.len()].iter().flatten().map(|step| step.to));
        }
        for &state in S::ALL {
            if !seen[state.index()] {
                self.report(
                    format!("$.states.{}", state.name()),
                    "unreachable from the initial state",
                );
            }
        }
    }
}

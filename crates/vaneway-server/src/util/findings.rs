//! Reads a JSON document and collects all findings with their JSON paths.
//!
//! If only the first mistake were reported, an operator would have to restart a process many times.
//! A reader therefore walks the whole document, records each problem with the JSON path at which it
//! occurs, goes on with a default, and reports everything at the end.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::sync::LazyLock;

use serde_json::Map;
use serde_json::Value;

/// One problem in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// JSON path of the problem, for example `$.services[0].kind`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All findings of one document, in the order in which they were detected. Clones share the
/// findings.
#[derive(Debug, Clone, Default)]
pub struct Findings(Rc<RefCell<Vec<Finding>>>);

impl Findings {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn report(&self, path: impl Into<String>, message: impl Into<String>) {
        self.0.borrow_mut().push(Finding { path: path.into(), message: message.into() });
    }

    /// Removes and returns all findings.
    pub fn take(&self) -> Vec<Finding> {
        self.0.take()
    }
}

/// A value in the document, with its path.
#[derive(Debug, Clone)]
pub struct JsonNode<'a> {
    path: String,
    value: &'a Value,
    findings: Findings,
}

impl<'a> JsonNode<'a> {
    /// Creates the root node of a document.
    pub fn root(value: &'a Value, findings: &Findings) -> Self {
        Self { path: "$".to_owned(), value, findings: findings.clone() }
    }

    /// The JSON path of the value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Adds a finding for this value.
    pub fn report(&self, message: impl Into<String>) {
        self.findings.report(self.path.clone(), message);
    }

    /// Adds a finding that this value is not what is `expected`. Returns `None`.
    fn reject<T>(&self, expected: &str) -> Option<T> {
        let shown = self.value.to_string();
        let shown: String = shown.chars().take(MAX_SHOWN_CHARS).collect();
        self.report(format!("expected {expected}, found `{shown}`"));
        None
    }

    /// Reads the value as an object.
    pub fn object(&self) -> Option<Fields<'a>> {
        match self.value {
            Value::Object(map) => Some(Fields { node: self.clone(), map, known: Vec::new() }),
            _ => self.reject("an object"),
        }
    }

    /// Reads the value as an array and returns its items.
    pub fn items(&self) -> Vec<JsonNode<'a>> {
        let Value::Array(items) = self.value else {
            self.reject::<()>("an array");
            return Vec::new();
        };
        let item = |(i, value)| JsonNode {
            path: format!("{}[{i}]", self.path),
            value,
            findings: self.findings.clone(),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// Reads the value as a non-empty string.
    pub fn string(&self) -> Option<String> {
        match self.value {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.reject("a non-empty string"),
        }
    }

    /// Reads the value as an integer within `range`.
    pub fn integer(&self, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
        match self.value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.reject(&format!("a whole number from {} to {}", range.start(), range.end())),
        }
    }

    /// Reads the value as a number within `range`, which may have a fraction.
    pub fn float(&self, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        match self.value.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.reject(&format!("a number from {} to {}", range.start(), range.end())),
        }
    }

    /// Reads the value as a boolean.
    pub fn boolean(&self) -> Option<bool> {
        match self.value {
            Value::Bool(flag) => Some(*flag),
            _ => self.reject("true or false"),
        }
    }

    /// Reads the value as a string that `parse` accepts; `expected` describes such strings.
    pub fn parse<T>(&self, expected: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        match self.value.as_str().and_then(parse) {
            Some(parsed) => Some(parsed),
            None => self.reject(expected),
        }
    }
}

/// Maximum number of characters of an invalid value that a finding quotes.
const MAX_SHOWN_CHARS: usize = 60;

/// The fields of an object. Call [`Fields::finish`] at the end to report unknown ones.
#[derive(Debug)]
pub struct Fields<'a> {
    node: JsonNode<'a>,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// The object's own node.
    pub fn node(&self) -> &JsonNode<'a> {
        &self.node
    }

    /// Returns a field that may be missing.
    pub fn optional(&mut self, name: &'static str) -> Option<JsonNode<'a>> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let value = self.map.get(name)?;
        let path = format!("{}.{name}", self.node.path);
        Some(JsonNode { path, value, findings: self.node.findings.clone() })
    }

    /// Returns the fields of an object that may be missing. A missing object reads as an empty one,
    /// so that each field's default is defined in one place only.
    ///
    /// # Panics
    ///
    /// Never: the empty value is an object.
    #[must_use]
    pub fn section(&mut self, name: &'static str) -> Fields<'a> {
        static EMPTY: LazyLock<Value> = LazyLock::new(|| Value::Object(Map::new()));
        let given = self.optional(name).and_then(|node| node.object());
        given.unwrap_or_else(|| {
            let path = format!("{}.{name}", self.node.path);
            let findings = self.node.findings.clone();
            let node = JsonNode { path, value: &EMPTY, findings };
            node.object().expect("the empty value is an object")
        })
    }

    /// Returns a field and reports it if it is missing.
    pub fn required(&mut self, name: &'static str) -> Option<JsonNode<'a>> {
        let node = self.optional(name);
        if node.is_none() {
            self.node.report(format!("field `{name}` is missing, add it"));
        }
        node
    }

    /// Reads a required non-empty string.
    pub fn string(&mut self, name: &'static str) -> String {
        self.required(name).and_then(|node| node.string()).unwrap_or_default()
    }

    /// Reads an optional integer within `range`.
    pub fn integer(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.optional(name).and_then(|node| node.integer(range)).unwrap_or(default)
    }

    /// Reads an optional number within `range`, which may have a fraction.
    pub fn float(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        self.optional(name).and_then(|node| node.float(range)).unwrap_or(default)
    }

    /// Returns the items of an optional array.
    pub fn items(&mut self, name: &'static str) -> Vec<JsonNode<'a>> {
        self.optional(name).map(|node| node.items()).unwrap_or_default()
    }

    /// Reports the fields of the object that were never requested as unknown.
    pub fn finish(self) {
        for name in self.map.keys() {
            if !self.known.contains(&name.as_str()) {
                let path = format!("{}.{name}", self.node.path);
                let message = format!("unknown field, known here: {}", self.known.join(", "));
                self.node.findings.report(path, message);
            }
        }
    }
}

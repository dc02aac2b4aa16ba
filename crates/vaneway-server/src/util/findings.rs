//! Reads a JSON document and collects every finding with its place.
//!
//! Why: an operator who mends one mistake at a time restarts a process many times. A reader walks
//! the whole document, notes what is wrong under the JSON path where it is wrong, goes on with a
//! default, and reports everything at the end.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::sync::LazyLock;

use serde_json::Map;
use serde_json::Value;

/// One mistake in a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// JSON path of the mistake, for example `$.services[0].kind`.
    pub path: String,
    /// What is wrong and what to write instead.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// All findings of one document, in the order they were met.
#[derive(Debug, Clone, Default)]
pub struct Findings(Rc<RefCell<Vec<Finding>>>);

impl Findings {
    /// An empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a finding.
    pub fn report(&self, path: impl Into<String>, message: impl Into<String>) {
        self.0.borrow_mut().push(Finding { path: path.into(), message: message.into() });
    }

    /// Takes the findings out.
    pub fn take(&self) -> Vec<Finding> {
        self.0.take()
    }
}

/// A place in the document.
#[derive(Debug, Clone)]
pub struct JsonNode<'a> {
    path: String,
    value: &'a Value,
    findings: Findings,
}

impl<'a> JsonNode<'a> {
    /// The root of a document.
    pub fn root(value: &'a Value, findings: &Findings) -> Self {
        Self { path: "$".to_owned(), value, findings: findings.clone() }
    }

    /// The JSON path.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Notes a finding at this place.
    pub fn report(&self, message: impl Into<String>) {
        self.findings.report(self.path.clone(), message);
    }

    fn wanted<T>(&self, wanted: &str) -> Option<T> {
        let shown = self.value.to_string();
        let shown: String = shown.chars().take(SHOWN_MOST).collect();
        self.report(format!("expected {wanted}, found `{shown}`"));
        None
    }

    /// The place as an object.
    pub fn object(&self) -> Option<Fields<'a>> {
        match self.value {
            Value::Object(map) => Some(Fields { place: self.clone(), map, known: Vec::new() }),
            _ => self.wanted("an object"),
        }
    }

    /// The items of an array.
    pub fn items(&self) -> Vec<JsonNode<'a>> {
        let Value::Array(items) = self.value else {
            self.wanted::<()>("an array");
            return Vec::new();
        };
        let item = |(i, value)| JsonNode {
            path: format!("{}[{i}]", self.path),
            value,
            findings: self.findings.clone(),
        };
        items.iter().enumerate().map(item).collect()
    }

    /// The place as text that is not empty.
    pub fn text(&self) -> Option<String> {
        match self.value {
            Value::String(text) if !text.is_empty() => Some(text.clone()),
            _ => self.wanted("a text that is not empty"),
        }
    }

    /// The place as a whole number within `range`.
    pub fn number(&self, range: std::ops::RangeInclusive<u64>) -> Option<u64> {
        match self.value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.wanted(&format!("a whole number from {} to {}", range.start(), range.end())),
        }
    }

    /// The place as a number within `range`, with a fraction or without.
    pub fn fraction(&self, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        match self.value.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.wanted(&format!("a number from {} to {}", range.start(), range.end())),
        }
    }

    /// The place as true or false.
    pub fn flag(&self) -> Option<bool> {
        match self.value {
            Value::Bool(flag) => Some(*flag),
            _ => self.wanted("true or false"),
        }
    }

    /// The place as a text that `parse` understands; `wanted` says what that is.
    pub fn parsed<T>(&self, wanted: &str, parse: impl Fn(&str) -> Option<T>) -> Option<T> {
        match self.value.as_str().and_then(parse) {
            Some(parsed) => Some(parsed),
            None => self.wanted(wanted),
        }
    }
}

/// Most characters of a wrong value that a finding shows.
const SHOWN_MOST: usize = 60;

/// The fields of an object. Call [`Fields::finish`] at the end to find unknown ones.
#[derive(Debug)]
pub struct Fields<'a> {
    place: JsonNode<'a>,
    map: &'a Map<String, Value>,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// The object's place.
    pub fn place(&self) -> &JsonNode<'a> {
        &self.place
    }

    /// A field that may be missing.
    pub fn optional(&mut self, name: &'static str) -> Option<JsonNode<'a>> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let value = self.map.get(name)?;
        let path = format!("{}.{name}", self.place.path);
        Some(JsonNode { path, value, findings: self.place.findings.clone() })
    }

    /// An object that may be missing; then it reads as an empty one, so that each field's default
    /// stands in one place.
    ///
    /// # Panics
    ///
    /// Never: the empty value is an object.
    #[must_use]
    pub fn section(&mut self, name: &'static str) -> Fields<'a> {
        static EMPTY: LazyLock<Value> = LazyLock::new(|| Value::Object(Map::new()));
        let given = self.optional(name).and_then(|place| place.object());
        given.unwrap_or_else(|| {
            let path = format!("{}.{name}", self.place.path);
            let findings = self.place.findings.clone();
            let place = JsonNode { path, value: &EMPTY, findings };
            place.object().expect("the empty value is an object")
        })
    }

    /// A field that must be there.
    pub fn required(&mut self, name: &'static str) -> Option<JsonNode<'a>> {
        let place = self.optional(name);
        if place.is_none() {
            self.place.report(format!("field `{name}` is missing, add it"));
        }
        place
    }

    /// Required text.
    pub fn text(&mut self, name: &'static str) -> String {
        self.required(name).and_then(|place| place.text()).unwrap_or_default()
    }

    /// Optional whole number within `range`.
    pub fn number(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        self.optional(name).and_then(|place| place.number(range)).unwrap_or(default)
    }

    /// Optional number within `range`, with a fraction or without.
    pub fn fraction(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        self.optional(name).and_then(|place| place.fraction(range)).unwrap_or(default)
    }

    /// The items of an optional array.
    pub fn items(&mut self, name: &'static str) -> Vec<JsonNode<'a>> {
        self.optional(name).map(|place| place.items()).unwrap_or_default()
    }

    /// Reports the fields that were never asked for.
    pub fn finish(self) {
        for name in self.map.keys() {
            if !self.known.contains(&name.as_str()) {
                let path = format!("{}.{name}", self.place.path);
                let message = format!("unknown field, known here: {}", self.known.join(", "));
                self.place.findings.report(path, message);
            }
        }
    }
}

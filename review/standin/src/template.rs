//! Fills the settings' templates of `deploy/`, as `DEPLOY.md` describes them.

/// A value of the fields from which templates are filled.
#[derive(Debug, Clone)]
pub enum Value {
    /// A text, or a number as it is written.
    Text(String),
    /// True or false.
    Flag(bool),
    /// A list.
    List(Vec<Value>),
    /// A table, in order.
    Table(Vec<(String, Value)>),
}

/// A text, or a number.
pub fn text(text: impl ToString) -> Value {
    Value::Text(text.to_string())
}

impl Value {
    /// A table.
    pub fn table<const N: usize>(fields: [(&str, Value); N]) -> Self {
        Self::Table(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    fn get(&self, path: &str) -> Option<&Value> {
        path.split('.').try_fold(self, |value, name| match value {
            Self::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            Self::List(items) => items.get(name.parse::<usize>().ok()?),
            Self::Text(_) | Self::Flag(_) => None,
        })
    }

    fn print(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            Self::Flag(flag) => flag.to_string(),
            Self::List(items) => items.iter().map(Value::print).collect::<Vec<_>>().join(","),
            Self::Table(_) => String::new(),
        }
    }
}

/// What gaps inside a section refer to.
struct Scope<'a> {
    entry: &'a Value,
    key: String,
    is_last: bool,
}

/// Fills a template.
///
/// # Panics
///
/// If a gap or a section isn't closed.
pub fn fill(template: &str, fields: &Value) -> String {
    section(template, fields, None)
}

fn section(template: &str, fields: &Value, scope: Option<&Scope<'_>>) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(at) = rest.find("{{") {
        out.push_str(&rest[..at]);
        let end = at + rest[at..].find("}}").expect("a gap is closed");
        let gap = rest[at + 2..end].trim();
        rest = &rest[end + 2..];
        if let Some(path) = gap.strip_prefix(['#', '^']) {
            let close = format!("{{{{/{path}}}}}");
            let end = rest.find(&close).expect("a section is closed");
            let (inner, after) = (&rest[..end], &rest[end + close.len()..]);
            let value = look_up(path, fields, scope);
            if gap.starts_with('#') {
                out.push_str(&repeat(inner, value, fields, scope));
            } else if value.is_none_or(|value| matches!(value, Value::Flag(false))) {
                out.push_str(&section(inner, fields, scope));
            }
            rest = after;
            continue;
        }
        match (gap, scope) {
            (".", Some(scope)) => out.push_str(&scope.entry.print()),
            ("@", Some(scope)) => out.push_str(&scope.key),
            (",", Some(scope)) if scope.is_last => {}
            (",", Some(_)) => out.push(','),
            (path, _) => {
                out.push_str(&look_up(path, fields, scope).map(Value::print).unwrap_or_default());
            }
        }
    }
    out.push_str(rest);
    out
}

fn look_up<'a>(path: &str, fields: &'a Value, scope: Option<&Scope<'a>>) -> Option<&'a Value> {
    scope.and_then(|scope| scope.entry.get(path)).or_else(|| fields.get(path))
}

fn repeat(inner: &str, value: Option<&Value>, fields: &Value, scope: Option<&Scope<'_>>) -> String {
    let entries: Vec<(String, &Value)> = match value {
        None | Some(Value::Flag(false)) => return String::new(),
        Some(Value::Text(_) | Value::Flag(true)) => return section(inner, fields, scope),
        Some(Value::List(items)) => {
            items.iter().enumerate().map(|(i, item)| (i.to_string(), item)).collect()
        }
        Some(Value::Table(named)) => named.iter().map(|(key, v)| (key.clone(), v)).collect(),
    };
    let last = entries.len().saturating_sub(1);
    let each = entries.into_iter().enumerate().map(|(i, (key, entry))| {
        section(inner, fields, Some(&Scope { entry, key, is_last: i == last }))
    });
    each.collect()
}

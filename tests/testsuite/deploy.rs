//! Deploy files: templates that are filled before each start must give settings without findings.

use std::path::Path;

use serde_json::Value;
use serde_json::json;
use vaneway_server::core::settings;
use vaneway_server::core::settings::ProcessSettings;

fn find<'a>(fields: &'a Value, name: &str) -> &'a Value {
    name.split('.').fold(fields, |value, part| match part.parse::<usize>() {
        Ok(position) => &value[position],
        Err(_) => &value[part],
    })
}

fn text_of(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Expands the placeholders that the deploy files use: values, and sections that are written once
/// if a value is given, or once for each item.
fn fill(template: &str, fields: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (name, rest) = rest.split_once("}}").unwrap();
    let Some(section) = name.strip_prefix('#') else {
        return format!("{before}{}{}", text_of(find(fields, name)), fill(rest, fields));
    };
    let (body, rest) = rest.split_once(&format!("{{{{/{section}}}}}")).unwrap();
    let items: Vec<(String, Value)> = match find(fields, section) {
        Value::Array(items) => {
            items.iter().enumerate().map(|(i, item)| (i.to_string(), item.clone())).collect()
        }
        Value::Object(items) => items.iter().map(|(k, v)| (k.clone(), v.clone())).collect(),
        Value::Null | Value::Bool(false) => Vec::new(),
        _ => return format!("{before}{}{}", fill(body, fields), fill(rest, fields)),
    };
    let count = items.len();
    let filled: String = items
        .iter()
        .enumerate()
        .map(|(i, (key, item))| {
            let comma = if i + 1 < count { "," } else { "" };
            body.replace("{{.}}", &text_of(item)).replace("{{@}}", key).replace("{{,}}", comma)
        })
        .collect();
    format!("{before}{filled}{}", fill(rest, fields))
}

fn filled(name: &str, fields: &Value) -> ProcessSettings {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(name);
    let text = fill(&std::fs::read_to_string(path).unwrap(), fields);
    settings::read_process(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

fn fields() -> Value {
    json!({
        "node_name": "box-1", "zone": "north", "zones": { "north": "r", "south": "r" },
        "ip": "10.9.0.1",
        "listen": { "front": "10.9.0.1:81", "ready": "10.9.0.1:82", "control": "10.9.0.1:83" },
        "internal_ports": [7_100, 7_115], "bootstrap": true, "data_dir": "/data/x",
        "seeds": ["10.9.0.2:83", "10.9.0.3:83"],
        "bounds": {
            "report_window_s": 2.5, "quota_window_s": 8, "quota_overage": 0.1,
            "quota_slack": 500, "retry_slack": 40, "retry_budget": 0.2
        },
        "cloud": { "address": "10.9.9.9:90" }
    })
}

#[test]
fn filled_templates_are_settings_without_findings() {
    let ProcessSettings::Entry(entry) = filled("entry.json", &fields()) else { panic!("entry") };
    let follow = entry.follow.unwrap();
    assert_eq!(follow.seeds, ["10.9.0.2:7100".parse().unwrap(), "10.9.0.3:7100".parse().unwrap()]);
    assert_eq!(follow.window.as_millis(), 2_500);
    let ProcessSettings::Control(control) = filled("control.json", &fields()) else {
        panic!("control")
    };
    assert!(control.form_group);
    assert!(control.cloud.is_some_and(|cloud| cloud.usage_reports && cloud.capacity_orders));
}

#[test]
fn templates_omit_what_a_deployment_does_not_have() {
    let mut fields = fields();
    fields["bounds"] = json!({});
    fields["cloud"] = Value::Null;
    let ProcessSettings::Entry(entry) = filled("entry.json", &fields) else { panic!("entry") };
    assert!(entry.follow.is_some());
    let ProcessSettings::Control(control) = filled("control.json", &fields) else {
        panic!("control")
    };
    assert!(control.cloud.is_none());
}

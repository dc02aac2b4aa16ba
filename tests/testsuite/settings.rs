//! Settings: the examples are accepted, all findings are reported together with their JSON paths,
//! and no input makes the parser panic.

use std::path::Path;
use std::process::Command;

use bolero::TypeGenerator;
use serde_json::Value;
use serde_json::json;
use vaneway_server::core::settings;

use crate::property;

fn sample(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    std::fs::read_to_string(path).unwrap()
}

fn findings(settings: &Value) -> Vec<String> {
    match settings::read(&settings.to_string()) {
        Ok(_) => Vec::new(),
        Err(error) => error.findings.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn samples_of_both_deployments_are_accepted_by_check() {
    for (name, summary) in [
        ("odalaigh.json", "ok (2 services, 13 replicas, 5 organisations, 5 other entry boxes)\n"),
        (
            "kredietbond.json",
            "ok (2 services, 13 replicas, 5 organisations, 5 other entry boxes)\n",
        ),
    ] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
        let output =
            Command::new(env!("CARGO_BIN_EXE_vaneway")).arg("check").arg(&path).output().unwrap();
        assert_eq!(String::from_utf8_lossy(&output.stderr), "");
        assert_eq!(
            String::from_utf8_lossy(&output.stdout),
            format!("{}: {summary}", path.display())
        );
    }
}

#[test]
fn decisions_in_a_shortage_are_off_unless_settings_switch_them_on() {
    let mut settings: Value = serde_json::from_str(&sample("odalaigh.json")).unwrap();
    let decisions = |settings: &Value| {
        let Ok(settings) = settings::read(&settings.to_string()) else { panic!("{settings}") };
        (settings.routing.shortage.order, settings.routing.shortage.shares)
    };
    assert_eq!(decisions(&settings), (false, false));
    settings["routing"]["shortage"] = json!({ "order": true, "shares": true });
    assert_eq!(decisions(&settings), (true, true));
    settings["routing"]["shortage"] = json!({ "order": 1, "rank": true });
    let findings = findings(&settings);
    assert!(findings.iter().any(|f| f.starts_with("$.routing.shortage.order:")), "{findings:?}");
    assert!(findings.iter().any(|f| f.starts_with("$.routing.shortage.rank:")), "{findings:?}");
}

#[test]
fn all_findings_are_reported_together_with_their_paths() {
    let mut settings: Value = serde_json::from_str(&sample("odalaigh.json")).unwrap();
    settings["listen"] = "localhost".into();
    settings["availability_zone"] = "nowhere".into();
    settings["colour"] = "green".into();
    settings["routing"]["policy"] = "best".into();
    settings["services"][0]["deadline_ms"] = 900_000.into();
    settings["services"][1]["models"] = json!(["scribe-large"]);
    settings["services"][1]["replicas"][0]["address"] = "127.0.1.1:9000".into();
    settings["organisations"][1]["token"] = "change-me-archive".into();
    settings["organisations"][2]["priority"] = 10.into();

    assert_eq!(
        findings(&settings),
        [
            "$.availability_zone: expected one of the availability zones (gaillimh-hall, \
             maigh-eo-hall, sligeach-hall), found `\"nowhere\"`",
            "$.listen: expected an IP address and port such as `127.0.0.1:8080`, found \
             `\"localhost\"`",
            "$.organisations[2].priority: expected a whole number from 0 to 9, found `10`",
            "$.services[1]: a plain service has no `models`, remove them",
            "$.routing.policy: expected one of random, round_robin, least_outstanding, \
             two_choices, prefix_hash, expected_work, found `\"best\"`",
            "$.colour: unknown field, known here: role, name, availability_zones, availability_zone, \
             listen, operators, platform, cluster, control, ready, forwarded_listen, peers, data_folder, \
             organisations, services, routing, limits, stop, claims",
            "$.services[1].models[0]: scribe-large is already used at $.services[0].models[0]",
            "$.organisations[1].token: this token is already used at $.organisations[0].token",
            "$.services[1].replicas[0].address: 127.0.1.1:9000 is already used at \
             $.services[0].replicas[0].address",
            "$.services[0].deadline_ms: longer than `$.stop.finish_ms` (600000), so a planned \
             stop could cut a request off; shorten it or raise `finish_ms`",
        ]
    );
}

#[test]
fn sizing_of_fleets_is_checked() {
    let with_capacity = |capacity: Value| {
        let settings = json!({
            "role": "control",
            "name": "control-1",
            "availability_zone": "a",
            "listen": "127.0.0.1:8080",
            "cluster_listen": "127.0.0.1:9080",
            "seeds": ["127.0.0.1:9080"],
            "data_folder": "/data",
            "capacity": capacity,
        });
        let found = settings::read_process(&settings.to_string()).err();
        let findings = found.map(|error| error.findings).unwrap_or_default();
        findings.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(with_capacity(json!({ "sizing": "in_time", "in_time_target": 0.9 })), [""; 0]);
    assert_eq!(with_capacity(json!({ "sizing": "utilisation" })), [""; 0]);
    assert_eq!(
        with_capacity(json!({ "sizing": "callers", "in_time_target": 1.5 })),
        [
            "$.capacity.in_time_target: expected a number from 0.5 to 0.999, found `1.5`",
            "$.capacity.sizing: `capacity.sizing` must be `utilisation` or `in_time`",
        ]
    );
}

#[test]
fn check_fails_with_the_findings_and_code_1() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.json");
    std::fs::write(&path, "{}").unwrap();

    let output =
        Command::new(env!("CARGO_BIN_EXE_vaneway")).arg("check").arg(&path).output().unwrap();

    assert_eq!(output.status.code(), Some(1));
    assert_eq!(
        String::from_utf8_lossy(&output.stderr),
        format!(
            "error: failed to read settings `{}`\n\nCaused by:\n  5 findings in the settings\n    \
             $: field `name` is missing, add it\n    \
             $: field `availability_zone` is missing, add it\n    \
             $: field `listen` is missing, add it\n    \
             $: field `operators` is missing, add it\n    \
             $: field `services` is missing, add it\n",
            path.display()
        )
    );
}

#[test]
fn wrong_command_lines_end_with_code_2() {
    for args in [vec!["start"], vec![], vec!["check"], vec!["run", "a", "b"], vec!["--colour"]] {
        let output = Command::new(env!("CARGO_BIN_EXE_vaneway")).args(&args).output().unwrap();
        assert_eq!(output.status.code(), Some(2), "{args:?}");
    }
    for program in [env!("CARGO_BIN_EXE_vaneway"), env!("CARGO_BIN_EXE_vanectl")] {
        for flag in ["--help", "--version"] {
            let output = Command::new(program).arg(flag).output().unwrap();
            assert!(output.status.success() && !output.stdout.is_empty());
        }
    }
}

#[derive(Debug, TypeGenerator)]
enum Scalar {
    Null,
    Flag(bool),
    Number(i64),
    Text(u8),
    List(u8),
    Object,
}

impl Scalar {
    fn to_json(&self) -> Value {
        match self {
            Self::Null => Value::Null,
            Self::Flag(flag) => (*flag).into(),
            Self::Number(number) => (*number).into(),
            Self::Text(length) => "é".repeat(usize::from(*length)).into(),
            Self::List(length) => vec![Value::Null; usize::from(*length % 8)].into(),
            Self::Object => json!({ "x": 1 }),
        }
    }
}

/// Replaces the `position`th node of a document, counted in depth-first order.
fn replace(value: &mut Value, position: &mut usize, with: &Value) {
    if *position == 0 {
        *value = with.clone();
    }
    *position = position.wrapping_sub(1);
    match value {
        Value::Array(items) => items.iter_mut().for_each(|item| replace(item, position, with)),
        Value::Object(map) => map.values_mut().for_each(|item| replace(item, position, with)),
        _ => {}
    }
}

#[test]
fn corrupted_settings_are_read_or_refused_with_paths() {
    let sample: Value = serde_json::from_str(&sample("kredietbond.json")).unwrap();
    property::check("corrupted settings", 2_000, |(position, with): (u16, Scalar)| {
        let mut settings = sample.clone();
        replace(&mut settings, &mut usize::from(position % 300), &with.to_json());
        if let Err(error) = settings::read(&settings.to_string()) {
            assert!(!error.findings.is_empty());
            assert!(error.findings.iter().all(|finding| finding.path.starts_with('$')));
        }
    });
}

#[test]
fn bytes_that_are_not_settings_are_refused() {
    property::check("bytes as settings", 2_000, |bytes: Vec<u8>| {
        let text = String::from_utf8_lossy(&bytes);
        let error = settings::read(&text).unwrap_err();
        assert!(!error.findings.is_empty());
    });
}

/// Guards against prices between zones that are missing, negative or of unknown zones.
#[test]
fn settings_of_leaving_the_zone_are_checked() {
    let mut settings: Value = serde_json::from_str(&sample("odalaigh.json")).unwrap();
    settings["routing"]["leaving_zone"] = json!({
        "gb_price": -1,
        "pairs": [
            { "zones": ["gaillimh-hall"] },
            { "zones": ["gaillimh-hall", "nowhere"], "price": 1 },
        ],
    });
    assert_eq!(
        findings(&settings),
        [
            "$.routing.leaving_zone.gb_price: expected a number from 0 to 1000000, found `-1`",
            "$.routing.leaving_zone: field `endpoint_hour_price` is missing, add it",
            "$.routing.leaving_zone.pairs[0]: field `zones` must list two availability zones",
            "$.routing.leaving_zone.pairs[1].zones[1]: expected one of the availability zones \
             (gaillimh-hall, maigh-eo-hall, sligeach-hall), found `\"nowhere\"`",
            "$.routing.leaving_zone.pairs[1].price: unknown field, known here: zones, gb_price, \
             delay_ms",
        ]
    );
    settings["routing"]["leaving_zone"] = json!({ "gb_price": 0.02, "endpoint_hour_price": 4 });
    assert_eq!(findings(&settings), [""; 0]);
}

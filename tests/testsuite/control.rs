//! Control boxes as real processes: consensus, Raft state on disk and membership.

use std::path::Path;

use vaneway_test_support::ControlGroup;
use vaneway_test_support::control_group::empty_configuration;

fn group(count: u8) -> ControlGroup {
    ControlGroup::start(Path::new(env!("CARGO_BIN_EXE_vaneway")), count)
}

#[test]
fn configuration_is_accepted_at_any_box_and_survives_the_kill_of_all() {
    let mut group = group(3);
    group.configure(&empty_configuration(3));
    // A version that is not above the one in force is accepted and changes nothing.
    group.configure(&empty_configuration(2));
    assert_eq!(group.configuration()["version"], 3);

    let follower = (group.leader() + 1) % 3;
    let malformed = group.call(follower, "PUT", "/v1/configuration", "{}").unwrap();
    assert_eq!(malformed.status, 400, "{malformed:?}");
    let body = empty_configuration(4).to_string();
    let redirected = group.call(follower, "PUT", "/v1/configuration", &body).unwrap();
    assert_eq!(redirected.leader, Some(group.address(group.leader())));

    for i in 0..3 {
        group.kill(i);
    }
    for i in 0..3 {
        group.start_box(i, false);
    }
    assert_eq!(group.configuration()["version"], 3);
}

fn vanectl(address: std::net::SocketAddr, args: &[&str]) -> (Option<i32>, String, String) {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_vanectl"))
        .args(["--address", &address.to_string()])
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code(), text(output.stdout), text(output.stderr))
}

#[test]
fn operators_apply_and_read_a_configuration_at_any_box() {
    let group = group(3);
    let follower = group.address((group.leader() + 1) % 3);
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("configuration.json");
    std::fs::write(&file, empty_configuration(6).to_string()).unwrap();
    let file = file.to_str().unwrap();
    let accepted = (Some(0), "version 6 is accepted\n".to_owned(), String::new());
    assert_eq!(vanectl(follower, &["apply", file]), accepted);
    let (code, read, _) = vanectl(follower, &["config"]);
    let read: serde_json::Value = serde_json::from_str(&read).unwrap();
    assert_eq!((code, read), (Some(0), empty_configuration(6)));

    let mut wrong = empty_configuration(7);
    wrong["services"] = serde_json::json!([
        { "name": "a", "health_path": "", "max_connections": 1, "engine": null, "capacity": null },
        { "name": "a", "health_path": "", "max_connections": 1, "engine": null, "capacity": null }
    ]);
    std::fs::write(file, wrong.to_string()).unwrap();
    let (code, _, error) = vanectl(follower, &["apply", file]);
    assert_eq!(code, Some(1));
    assert!(error.contains("$.services[1].name: another service has this name"), "{error}");
}

/// In these tests a snapshot is taken after five entries.
#[test]
fn box_that_missed_more_than_the_log_holds_gets_a_snapshot() {
    let mut group = group(3);
    let behind = (group.leader() + 1) % 3;
    group.kill(behind);
    for version in 1..=24 {
        group.configure(&empty_configuration(version));
    }
    let leader = group.leader();
    group.process(leader).wait_for_log(&["event=snapshot ", "index=20"]);
    group.start_box(behind, false);
    group.process(behind).wait_for_log(&["event=snapshot_taken"]);
    group.process(behind).wait_for_log(&["event=configuration_agreed", "version=24"]);

    // All restart from their snapshots and the log entries after them.
    for i in 0..3 {
        group.kill(i);
    }
    for i in 0..3 {
        group.start_box(i, false);
    }
    assert_eq!(group.configuration()["version"], 24);
    group.configure(&empty_configuration(25));
    assert_eq!(group.configuration()["version"], 25);
}

/// Guards against entry boxes that wait for a leader when they start together with the control
/// boxes.
#[test]
fn box_that_starts_alone_knows_the_committed_configuration() {
    let mut group = group(3);
    group.configure(&empty_configuration(7));
    let follower = (group.leader() + 1) % 3;
    group.process(follower).wait_for_log(&["event=configuration_agreed", "version=7"]);
    // The commit is known here and is persisted with the next write at the latest. Without the
    // other follower, this box must have made that write before the next configuration is accepted.
    group.kill((follower + 1) % 3);
    group.configure(&empty_configuration(9));
    for i in 0..3 {
        group.kill(i);
    }
    group.start_box(follower, false);
    let state = group.state(follower);
    assert_eq!(state["leader"], serde_json::Value::Null);
    assert!(state["configuration"].as_u64().is_some_and(|version| version >= 7), "{state}");
    // Without a leader it cannot know whether this version is the newest.
    let read = group.call(follower, "GET", "/v1/configuration", "").unwrap();
    assert_eq!(read.status, 503);
}

/// Guards against a box that does not become a voter while none of its seed boxes is the leader.
#[test]
fn box_that_lost_its_disk_is_added_though_the_only_box_that_it_knows_does_not_lead() {
    let mut group = group(5);
    group.wait_for_voters();
    let leader = group.leader();
    let (lost, known) = ((leader + 1) % 5, (leader + 2) % 5);
    group.kill(lost);
    group.wipe(lost);
    group.start_box_with_seed(lost, known);
    group.wait_for_voters();
}

#[test]
fn configuration_that_is_wrong_is_refused_with_every_finding() {
    let group = group(1);
    let mut configuration = empty_configuration(1);
    configuration["routes"] = serde_json::json!([{
        "name": "r", "host": "h", "prefix": "/p", "kind": "AtMostOnce",
        "timeout": { "secs": 0, "nanos": 0 }, "objective": { "secs": 1, "nanos": 0 },
        "pause_objective": null, "priority": 0, "max_attempts": 1, "public": false,
        "affine": false, "targets": [{ "service": "nowhere", "weight": 0 }]
    }]);
    group.leader();
    let response = group.call(0, "PUT", "/v1/configuration", &configuration.to_string()).unwrap();
    let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    assert_eq!(response.status, 422);
    assert_eq!(
        body["findings"],
        serde_json::json!([
            "$.routes[0].targets: there is no service `nowhere`",
            "$.routes[0].targets: the weights sum to 0, raise one",
            "$.routes[0].timeout: must be longer than 0",
            "$.routes[0].prefix: must begin and end with `/`",
        ])
    );
}

/// Guards against a box that lost its disk and does not become a voter again before the next box is
/// lost. Seen on kbd-vaneway, where messages to the former node reached the new one at the same
/// address.
#[test]
fn box_that_lost_its_disk_votes_again_before_the_next_is_lost() {
    let mut group = group(3);
    group.configure(&empty_configuration(1));
    let (lost, next) = ((group.leader() + 1) % 3, (group.leader() + 2) % 3);

    group.kill(lost);
    group.wipe(lost);
    group.start_box(lost, false);
    group.wait_for_voters();

    group.kill(next);
    group.configure(&empty_configuration(2));
    assert_eq!(group.configuration()["version"], 2);
}

#[test]
fn replaced_boxes_take_over_one_after_the_other() {
    let mut group = group(3);
    group.configure(&empty_configuration(1));
    for lost in 0..3 {
        group.kill(lost);
        group.start_box(3 + lost, false);
        group.wait_for_voters();
        group.configure(&empty_configuration(2 + lost as u64));
    }
    assert_eq!(group.running(), [3, 4, 5]);
    assert_eq!(group.configuration()["version"], 4);
}

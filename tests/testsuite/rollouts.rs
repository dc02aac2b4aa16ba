//! Roll-outs over real processes: entry boxes before stand-in endpoints of two versions, and control
//! boxes that agree on the order and its end.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::wire_endpoint::Behaviour;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::support::block_on;

/// Share of the requests that a version on trial may get, and requests beyond it: so large that few
/// requests suffice for a verdict.
const SHARE: f64 = 0.4;
const SLACK: f64 = 8.0;

/// Endpoints of each version.
const ENDPOINTS: usize = 3;

/// Requests sent at once, by each entry box.
const REQUESTS: usize = 8;

/// Time for a roll-out to come to its end; far longer than it should take.
const END_TIMEOUT: Duration = Duration::from_mins(1);

/// Duration of the orders.
const DURATION_S: f64 = 8.0;

struct Fleet {
    control: ControlGroup,
    entries: Vec<Process>,
    old: Vec<WireEndpoint>,
    new: Vec<WireEndpoint>,
    heartbeats: u64,
    next_request: u64,
}

impl Fleet {
    fn start(control_boxes: u8, entries: usize) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, control_boxes, Some("platform"));
        control.configure(&configuration(1));
        let spawn = |version: &str| -> Vec<WireEndpoint> {
            let name = |n| format!("i-{version}-{n}");
            (0..ENDPOINTS).map(|n| WireEndpoint::spawn_with_version(&name(n), version)).collect()
        };
        let (old, new) = (spawn("v1"), spawn("v2"));
        let mut fleet =
            Self { control, entries: Vec::new(), old, new, heartbeats: 0, next_request: 0 };
        fleet.send_heartbeats(false);
        for n in 0..entries {
            let mut settings = fleet.control.entry_settings(&format!("entry-{n}"));
            settings["control"]["exposure"] = json!({ "share": SHARE, "slack": SLACK });
            let entry = fleet.control.start_with_settings(&settings);
            entry.wait_for_log(&["event=configured", "version=1"]);
            for endpoint in &fleet.old {
                let replica = format!("replica={}", endpoint.instance());
                entry.wait_for_log(&["event=endpoint", &replica]);
            }
            entry.wait_for_log(&["event=box_number"]);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Sends heartbeats of the old endpoints, and of the new ones too if they have started.
    fn send_heartbeats(&mut self, new_ones: bool) {
        self.heartbeats += 1;
        let new = self.new.iter().filter(|_| new_ones);
        for endpoint in self.old.iter().chain(new) {
            let (path, body) = endpoint.heartbeat("maps", "ready", self.heartbeats);
            self.control.until("a control box takes a heartbeat", |i| {
                let response = self.control.call(i, "POST", &path, &body);
                response.is_some_and(|response| response.status == 200)
            });
        }
    }

    /// Sends an order until the leader answers it; returns the status.
    fn order(&self, body: &str) -> u16 {
        let mut status = 0;
        let deadline = Instant::now() + END_TIMEOUT;
        while !matches!(status, 200 | 400..=499) {
            assert!(Instant::now() < deadline, "no answer to the order: {status}");
            for i in self.control.running() {
                let response = self.control.call(i, "POST", "/rollouts/start", body);
                status = response.map_or(0, |response| response.status);
                if matches!(status, 200 | 400..=499) {
                    break;
                }
            }
        }
        status
    }

    fn order_of(&self, target: &str) -> u16 {
        let order =
            json!({ "service": "maps", "target_version": target, "duration_s": DURATION_S });
        self.order(&order.to_string())
    }

    /// The state as the leader gives it, and the box that is the leader; none while there is none.
    fn state(&self) -> Option<(usize, Value)> {
        self.control.running().into_iter().find_map(|i| {
            let response = self.control.call(i, "GET", "/rollouts/maps/read", "")?;
            let body = serde_json::from_str(&response.body).ok();
            body.filter(|_| response.status == 200).map(|body| (i, body))
        })
    }

    /// Sends requests at all entry boxes.
    fn send(&mut self) {
        let callers: Vec<_> = self
            .entries
            .iter()
            .map(|entry| Caller::new(entry.listen(), KEY).with_host(HOST))
            .collect();
        let mut sent = Vec::new();
        for caller in &callers {
            for _ in 0..REQUESTS {
                self.next_request += 1;
                let id = format!("r-{}", self.next_request);
                sent.push(async move {
                    let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "5000")];
                    caller.send_with(Method::POST, "/safe/x", &headers, "b").await.status
                });
            }
        }
        block_on(join_all(sent));
    }

    /// Sends requests and heartbeats until `is_reached` is true of the state, or of its absence.
    fn send_until(&mut self, what: &str, is_reached: impl Fn(&Self, Option<&Value>) -> bool) {
        let deadline = Instant::now() + END_TIMEOUT;
        loop {
            assert!(Instant::now() < deadline, "timed out waiting until {what}");
            self.send_heartbeats(true);
            for _ in 0..5 {
                self.send();
            }
            let state = self.state().map(|(_, state)| state);
            if is_reached(self, state.as_ref()) {
                return;
            }
        }
    }

    /// Sends requests until the roll-out is over; returns the end.
    fn end(&mut self) -> String {
        self.send_until("the roll-out is over", |_, state| {
            state.is_some_and(|state| state["state"] != "running")
        });
        let (_, state) = self.state().expect("the state was read before");
        assert_eq!(state["target_version"], "v2");
        state["state"].as_str().expect("a state").to_owned()
    }

    fn wait_for_phase(&self, phase: &str) {
        for entry in &self.entries {
            entry.wait_for_log(&["event=rollout ", &format!("phase={phase}")]);
        }
    }

    fn received(endpoints: &[WireEndpoint]) -> usize {
        endpoints.iter().map(|endpoint| endpoint.received().len()).sum()
    }

    /// Asserts that the new version has got no more than its share.
    fn assert_exposure_is_bounded(&self) {
        let (old, new) = (Self::received(&self.old), Self::received(&self.new));
        let bound = SHARE * (old + new) as f64 + SLACK;
        assert!(new as f64 <= bound, "{new} of {} requests went to v2", old + new);
    }

    /// Asserts that the new version gets nothing more.
    fn assert_new_gets_nothing(&mut self) {
        let before = Self::received(&self.new);
        self.send_heartbeats(true);
        for _ in 0..10 {
            self.send();
        }
        assert_eq!(Self::received(&self.new), before, "v2 was taken back");
    }
}

#[test]
fn a_good_version_is_brought_in_and_then_gets_all_requests() {
    let mut fleet = Fleet::start(1, 2);
    fleet.send();
    assert_eq!(fleet.order_of("v2"), 200);
    assert_eq!(fleet.end(), "completed");
    fleet.wait_for_phase("shifting");
    let before = Fleet::received(&fleet.old);
    fleet.send();
    assert_eq!(Fleet::received(&fleet.old), before, "v1 gets nothing more");
    assert!(Fleet::received(&fleet.new) > 0);
    // The old ones stop at once.
    fleet.old.clear();
    fleet.send_heartbeats(true);
    assert_eq!(fleet.order_of("v2"), 200, "the same order again");
    assert_eq!(fleet.end(), "completed");
}

#[test]
fn a_bad_version_is_taken_back_and_gets_nothing_more() {
    let mut fleet = Fleet::start(1, 3);
    fleet.new.iter().for_each(|endpoint| endpoint.behave(Behaviour::Fail));
    assert_eq!(fleet.order_of("v2"), 200);
    assert_eq!(fleet.end(), "rolled_back");
    fleet.wait_for_phase("rolled_back");
    assert!(Fleet::received(&fleet.new) > 0, "it was tried");
    fleet.assert_exposure_is_bounded();
    fleet.assert_new_gets_nothing();
    assert_eq!(fleet.order_of("v2"), 200, "the same order again");
    assert_eq!(fleet.end(), "rolled_back");
    fleet.assert_new_gets_nothing();
}

#[test]
fn an_entry_box_that_restarts_keeps_within_the_share() {
    let mut fleet = Fleet::start(1, 2);
    fleet.new.iter().for_each(|endpoint| endpoint.behave(Behaviour::Fail));
    assert_eq!(fleet.order_of("v2"), 200);
    fleet.send_until("v2 is tried", |fleet, _| Fleet::received(&fleet.new) > 0);
    let mut settings = fleet.control.entry_settings("entry-0");
    settings["control"]["exposure"] = json!({ "share": SHARE, "slack": SLACK });
    fleet.entries.remove(0).kill();
    let entry = fleet.control.start_with_settings(&settings);
    entry.wait_for_log(&["event=configured", "version=1"]);
    for endpoint in &fleet.old {
        let replica = format!("replica={}", endpoint.instance());
        entry.wait_for_log(&["event=endpoint", &replica]);
    }
    fleet.entries.push(entry);
    assert_eq!(fleet.end(), "rolled_back");
    fleet.wait_for_phase("rolled_back");
    fleet.assert_exposure_is_bounded();
    fleet.assert_new_gets_nothing();
}

#[test]
fn a_new_leader_goes_on_with_a_roll_out() {
    let mut fleet = Fleet::start(3, 2);
    assert_eq!(fleet.order_of("v2"), 200);
    fleet.send_until("v2 is tried", |fleet, _| Fleet::received(&fleet.new) > 0);
    let (leader, _) = fleet.state().expect("a leader");
    fleet.control.kill(leader);
    let end = fleet.end();
    fleet.wait_for_phase(&end);
    let other = if end == "completed" { "rolled_back" } else { "completed" };
    for _ in 0..3 {
        fleet.send_heartbeats(true);
        fleet.send();
    }
    for entry in &fleet.entries {
        assert!(!entry.log().contains(&format!("phase={other}")), "it ended as {end}");
    }
}

#[test]
fn a_roll_out_outlives_the_loss_of_all_control_boxes() {
    let mut fleet = Fleet::start(3, 2);
    assert_eq!(fleet.order_of("v2"), 200);
    fleet.send_until("v2 is tried", |fleet, _| Fleet::received(&fleet.new) > 0);
    (0..3).for_each(|i| fleet.control.kill(i));
    for _ in 0..5 {
        fleet.send();
    }
    (0..3).for_each(|i| fleet.control.start_box(i, false));
    let end = fleet.end();
    fleet.wait_for_phase(&end);
    let other = if end == "completed" { "rolled_back" } else { "completed" };
    for entry in &fleet.entries {
        assert!(!entry.log().contains(&format!("phase={other}")), "it ended as {end}");
    }
}

#[test]
fn orders_that_cannot_be_carried_out_are_refused() {
    let fleet = Fleet::start(1, 1);
    let order = |service: &str, target: &str, duration_s: f64| json!({ "service": service, "target_version": target, "duration_s": duration_s });
    for (order, status) in [
        ("{".to_owned(), 400),
        (json!({ "service": "maps" }).to_string(), 400),
        (order("unknown", "v2", 10.0).to_string(), 422),
        (order("maps", "", 10.0).to_string(), 422),
        (order("maps", "v1", 10.0).to_string(), 422),
        (order("maps", "v2", 0.0).to_string(), 422),
        (order("maps", "v2", -1.0).to_string(), 422),
    ] {
        assert_eq!(fleet.order(&order), status, "{order}");
    }
    let read = fleet.control.call(0, "GET", "/rollouts/maps/read", "").expect("an answer");
    assert_eq!(read.status, 404, "nothing was ordered");
    assert_eq!(fleet.order_of("v2"), 200);
    assert_eq!(fleet.order_of("v2"), 200, "the same order again");
    assert_eq!(fleet.order_of("v3"), 409, "another target is under way");
}

//! Planned stops, which truncate no response, and hang-up signals.

use std::io::Read as _;
use std::io::Write as _;
use std::net::TcpStream;

use hyper::Method;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use vaneway_test_support::deployment::MODEL;

use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;

/// Number of streams that are open when the stop begins.
const OPEN_STREAMS: usize = 12;

#[test]
fn stop_under_load_finishes_every_stream_ten_times_over() {
    let (a, b) = (engine(), engine());
    let deployment = deployment().engines(&replicas(&[&a, &b]));
    for _ in 0..10 {
        let entry = deployment.start();
        let caller = deployment.caller(&entry);
        block_on(async {
            let mut streams = Vec::new();
            for i in 0..OPEN_STREAMS {
                streams.push(caller.stream(MODEL, &format!("prompt {i}"), 40).await);
            }
            for stream in &mut streams {
                stream.events(2).await;
            }
            entry.signal("TERM");
            entry.wait_for_log(&["event=phase", "phase=finishing"]);
            for stream in streams {
                let response = stream.finish().await;
                assert!(response.complete);
                assert!(response.body.ends_with(b"data: [DONE]\n\n"));
            }
        });
        assert_eq!(entry.wait(), Some(0));
    }
}

#[test]
fn readiness_is_withdrawn_first_and_new_requests_are_still_accepted() {
    let a = engine();
    let stop = serde_json::json!({ "accept_ms": 60_000, "finish_ms": 60_000 });
    let deployment = deployment().engines(&replicas(&[&a])).set("/stop", stop);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        assert_eq!(caller.send(Method::GET, "/readyz", "").await.status, 200);
        entry.signal("TERM");
        entry.wait_for_log(&["event=phase", "phase=unready"]);
        assert_eq!(caller.send(Method::GET, "/readyz", "").await.status, 503);
        assert_eq!(caller.send(Method::GET, "/healthz", "").await.status, 200);
        assert_eq!(caller.chat(MODEL, "late", 3).await.status, 200);
    });
}

#[test]
fn idle_connections_are_closed_while_a_stream_finishes() {
    let a = engine();
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let mut stream = caller.stream(MODEL, "long", 200).await;
        stream.events(2).await;
        // A keep-alive connection, as load balancers hold them.
        let mut idle = TcpStream::connect(entry.listen()).unwrap();
        idle.write_all(b"GET /healthz HTTP/1.1\r\nhost: entry\r\n\r\n").unwrap();
        let mut response = [0; 1_024];
        let count = idle.read(&mut response).unwrap();
        assert!(response[..count].starts_with(b"HTTP/1.1 200 OK"));

        entry.signal("TERM");
        entry.wait_for_log(&["event=phase", "phase=finishing"]);

        let mut remainder = Vec::new();
        idle.read_to_end(&mut remainder).unwrap();
        assert!(remainder.is_empty() || remainder == b"ok\n", "closed without another response");
        assert!(stream.finish().await.complete);
    });
    assert_eq!(entry.wait(), Some(0));
}

/// Guards against a SIGHUP that terminates the process because its handler is not installed yet, or
/// not while the process writes its state.
#[test]
fn repeated_hangup_signals_right_after_the_start_do_not_stop_the_process() {
    let a = engine();
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();
    let pid = Pid::from_raw(entry.id().cast_signed()).unwrap();
    for _ in 0..2_000 {
        kill_process(pid, Signal::HUP).unwrap();
    }
    entry.wait_for_log(&["event=dump"]);
    entry.signal("TERM");
    entry.wait_for_log(&["event=phase", "phase=finishing"]);
}

#[test]
fn hangup_signal_writes_the_state_to_the_log() {
    let a = engine();
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();

    entry.signal("HUP");

    let line = entry.wait_for_log(&["event=dump"]);
    let (_, state) = line.split_once("state=").unwrap();
    let state: serde_json::Value = serde_json::from_str(state).unwrap();
    assert_eq!(state["name"], "entry-1");
    assert_eq!(state["endpoints"][0]["replica"], "a");
}

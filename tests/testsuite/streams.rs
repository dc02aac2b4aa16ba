//! Streams survive the loss of their endpoints: the caller receives one complete response, with the
//! same chunks as an undisturbed run gives.

use std::time::Duration;

use serde_json::Value;
use vaneway_test_support::Caller;
use vaneway_test_support::CloudPlatform;
use vaneway_test_support::Deployment;
use vaneway_test_support::Engine;
use vaneway_test_support::EngineOptions;
use vaneway_test_support::Process;
use vaneway_test_support::Proxy;
use vaneway_test_support::Replica;
use vaneway_test_support::caller::ReceivedResponse;
use vaneway_test_support::deployment::MODEL;
use vaneway_test_support::deployment::until;

use crate::support::block_on;
use crate::support::deployment;
use crate::support::engine;
use crate::support::replicas;
use crate::support::vanectl_json;

const PROMPT: &str = "Gloss every word of this tape, side A, recorded in the western parishes.";

/// Tokens of a response, enough to interrupt it in the middle.
const TOKENS: u32 = 300;

/// Notice period that leaves no time to finish a stream.
const SHORT_NOTICE: Duration = Duration::from_millis(150);

/// The chunks of a response without the fields that differ between requests; the id and the
/// creation time must be the same in all chunks of one response.
/// Software versions of the engines of one test.
const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];

/// Number of streams of that test, enough that one would go on at the other version by chance.
const VERSION_ROUNDS: usize = 6;

fn chunks(response: &ReceivedResponse) -> Vec<Value> {
    assert_eq!(response.status, 200, "{}", String::from_utf8_lossy(&response.body));
    assert!(response.complete, "truncated: {}", String::from_utf8_lossy(&response.body));
    let body = String::from_utf8(response.body.to_vec()).unwrap();
    let data: Vec<_> = body.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(data.last(), Some(&"[DONE]"));
    let mut chunks: Vec<Value> =
        data[..data.len() - 1].iter().map(|data| serde_json::from_str(data).unwrap()).collect();
    let first = (chunks[0]["id"].clone(), chunks[0]["created"].clone());
    for chunk in &mut chunks {
        assert_eq!((chunk["id"].take(), chunk["created"].take()), first);
    }
    chunks
}

async fn undisturbed(caller: &Caller) -> Vec<Value> {
    chunks(&caller.stream(MODEL, PROMPT, TOKENS).await.finish().await)
}

/// Index of the engine that runs a stream.
fn busy_engine(engines: &[&Engine]) -> usize {
    engines.iter().position(|engine| engine.stats().open > 0).expect("an engine has the stream")
}

fn platform_with_boxes(names: &[&str]) -> CloudPlatform {
    let platform = CloudPlatform::spawn(Duration::from_millis(300));
    for name in names {
        platform.start_box(&format!("box-{name}"));
    }
    platform
}

/// Starts an entry box of `deployment`; returns it with a caller.
fn start_entry(deployment: &Deployment) -> (Process, Caller) {
    let entry = deployment.start();
    let caller = deployment.caller(&entry);
    (entry, caller)
}

/// Starts an entry box in front of `engines`; returns it with a caller.
fn start_entry_with(engines: &[&Engine]) -> (Process, Caller) {
    start_entry(&deployment().engines(&replicas(engines)))
}

/// Starts an entry box in front of `engines` whose boxes the platform can reclaim; returns it with
/// a caller.
fn start_entry_with_reclaimable(
    engines: &[&Engine],
    platform: &CloudPlatform,
) -> (Process, Caller) {
    start_entry(&deployment().engines(&replicas(engines)).platform(platform.address()))
}

#[test]
fn notice_in_the_middle_migrates_the_stream_with_its_state() {
    let (a, b) = (engine(), engine());
    let platform = platform_with_boxes(&["a", "b"]);
    let (_entry, caller) = start_entry_with_reclaimable(&[&a, &b], &platform);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        let from = busy_engine(&[&a, &b]);
        platform.reclaim(["box-a", "box-b"][from], SHORT_NOTICE);
        let response = stream.finish().await;

        assert_eq!(chunks(&response), expected);
        let target = [&b, &a][from];
        assert_eq!((target.stats().imported, target.stats().resumed), (1, 1));
        assert_eq!(a.stats().continued + b.stats().continued, 0);
        until(|| a.stats().open + b.stats().open == 0).await;
    });
}

#[test]
fn notice_with_time_to_finish_migrates_nothing() {
    let (a, b) = (engine(), engine());
    let platform = platform_with_boxes(&["a", "b"]);
    let (_entry, caller) = start_entry_with_reclaimable(&[&a, &b], &platform);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        platform.reclaim(["box-a", "box-b"][busy_engine(&[&a, &b])], Duration::from_mins(1));
        let response = stream.finish().await;

        assert_eq!(chunks(&response), expected);
        assert_eq!(a.stats().resumed + b.stats().resumed, 0);
        assert_eq!(a.stats().continued + b.stats().continued, 0);
    });
}

#[test]
fn stream_continues_elsewhere_after_an_engine_crash() {
    let (a, b) = (engine(), engine());
    let (_entry, caller) = start_entry_with(&[&a, &b]);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        let survivor = if busy_engine(&[&a, &b]) == 0 {
            a.kill();
            b
        } else {
            b.kill();
            a
        };
        let response = stream.finish().await;

        assert_eq!(chunks(&response), expected);
        assert_eq!(survivor.stats().continued, 1);
    });
}

/// Guards against a stream that goes on at an engine of another software version than the one that
/// began it, although one of its own version serves.
#[test]
fn stream_goes_on_at_an_engine_of_its_software_version() {
    for _ in 0..VERSION_ROUNDS {
        let mut engines: Vec<Engine> = VERSIONS.iter().map(|_| engine()).collect();
        let mut versions = Vec::from(VERSIONS);
        let listed = engines.iter().zip(VERSIONS).enumerate().map(|(i, (engine, version))| {
            Replica::new(&format!("engine-{i}"), engine.address()).with_software(version)
        });
        let (_entry, caller) = start_entry(&deployment().engines(&listed.collect::<Vec<_>>()));
        block_on(async {
            let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
            stream.events(10).await;
            let crashed = busy_engine(&engines.iter().collect::<Vec<_>>());
            engines.remove(crashed).kill();
            let began_at = versions.remove(crashed);
            let response = stream.finish().await;
            assert!(response.complete);
            let continued = engines.iter().position(|engine| engine.stats().continued == 1);
            let continued = continued.expect("an engine that went on with the stream");
            assert_eq!(versions[continued], began_at);
        });
    }
}

#[test]
fn unstreamed_responses_survive_an_engine_crash_too() {
    let (a, b) = (engine(), engine());
    let (_entry, caller) = start_entry_with(&[&a, &b]);

    block_on(async {
        let expected = caller.chat(MODEL, PROMPT, TOKENS).await.json()["choices"].take();
        let calling = caller.chat(MODEL, PROMPT, TOKENS);
        let killing = async {
            until(|| {
                a.stats().open + b.stats().open > 0
                    && a.stats().generated + b.stats().generated > u64::from(TOKENS) + 20
            })
            .await;
            if busy_engine(&[&a, &b]) == 0 {
                a.kill();
                b
            } else {
                b.kill();
                a
            }
        };
        let (response, survivor) = futures_util::join!(calling, killing);

        assert_eq!(response.status, 200);
        assert_eq!(response.json()["choices"], expected);
        assert_eq!(survivor.stats().continued, 1);
    });
}

#[test]
fn reclaim_of_the_target_migrates_the_stream_again() {
    let (a, b, c) = (engine(), engine(), engine());
    let engines = [&a, &b, &c];
    let platform = platform_with_boxes(&["a", "b", "c"]);
    let (_entry, caller) = start_entry_with_reclaimable(&engines, &platform);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        let boxes = ["box-a", "box-b", "box-c"];
        let first = busy_engine(&engines);
        platform.reclaim(boxes[first], SHORT_NOTICE);
        until(|| engines.iter().any(|engine| engine.stats().resumed == 1)).await;
        let second = engines.iter().position(|engine| engine.stats().resumed == 1).unwrap();
        platform.reclaim(boxes[second], SHORT_NOTICE);
        let response = stream.finish().await;

        assert_eq!(chunks(&response), expected);
        let third = 3 - first - second;
        assert_eq!(engines[third].stats().resumed, 1);
    });
}

#[test]
fn reclaim_of_an_availability_zone_migrates_every_stream_out() {
    let engines: Vec<_> = (0..4).map(|_| engine()).collect();
    let names = ["n1", "n2", "m1", "s1"];
    let zones = ["north", "north", "middle", "south"];
    let placed: Vec<_> =
        (0..4).map(|i| Replica::new(names[i], engines[i].address()).in_zone(zones[i])).collect();
    let platform = platform_with_boxes(&names);
    let deployment = deployment().engines(&placed).platform(platform.address());
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut streams = Vec::new();
        for _ in 0..20 {
            streams.push(caller.stream(MODEL, PROMPT, TOKENS).await);
        }
        for stream in &mut streams {
            stream.events(3).await;
        }
        assert_eq!(engines[0].stats().fresh + engines[1].stats().fresh, 21);
        platform.reclaim("box-n1", SHORT_NOTICE);
        platform.reclaim("box-n2", SHORT_NOTICE);
        for stream in streams {
            assert_eq!(chunks(&stream.finish().await), expected);
        }
        assert!(engines[2].stats().resumed + engines[3].stats().resumed > 0);
    });
}

#[test]
fn stream_waits_for_a_replacement_when_nothing_is_left() {
    let a = engine();
    let platform = platform_with_boxes(&["a"]);
    let (entry, caller) = start_entry_with_reclaimable(&[&a], &platform);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        platform.reclaim("box-a", SHORT_NOTICE);
        until(|| vanectl_json(&entry, &["endpoints"])[0]["state"] == "gone").await;
        platform.start_box("box-a");

        assert_eq!(chunks(&stream.finish().await), expected);
    });
}

#[test]
fn stalled_endpoint_is_abandoned_for_another() {
    let (a, b) = (engine(), engine());
    let proxies = [Proxy::tcp(a.address()), Proxy::tcp(b.address())];
    let placed = [Replica::new("a", proxies[0].address()), Replica::new("b", proxies[1].address())];
    let deployment = deployment().engines(&placed).set("/services/0/stall_ms", 1_000.into());
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        stream.events(10).await;
        let from = busy_engine(&[&a, &b]);
        // Half-open: the connection stays open, but no data passes.
        proxies[from].freeze(true);

        assert_eq!(chunks(&stream.finish().await), expected);
        assert_eq!([&b, &a][from].stats().continued, 1);
    });
}

#[test]
fn stream_that_is_interrupted_repeatedly_is_resumed_each_time() {
    let a = engine();
    let proxy = Proxy::tcp(a.address());
    let deployment = deployment().engines(&[Replica::new("a", proxy.address())]);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let expected = undisturbed(&caller).await;
        let mut stream = caller.stream(MODEL, PROMPT, TOKENS).await;
        for interrupted in 0..3 {
            stream.events(5 + 10 * interrupted).await;
            proxy.cut_response_after(700);
            let resumed = interrupted as u64;
            until(|| a.stats().resumed > resumed).await;
        }

        assert_eq!(chunks(&stream.finish().await), expected);
        assert_eq!((a.stats().resumed, a.stats().continued), (3, 0));
    });
}

#[test]
fn caller_that_goes_away_frees_the_engine() {
    let slow = EngineOptions { linger: Duration::from_hours(1), ..EngineOptions::default() };
    let a = Engine::spawn(slow);
    let deployment = deployment().engines(&replicas(&[&a]));
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let mut stream = caller.stream(MODEL, PROMPT, 100_000).await;
        stream.events(5).await;
        drop(stream);
        // Without a cancellation the engine would keep the state for an hour.
        until(|| a.stats().cancelled == 1 && a.stats().open == 0).await;
        until(|| vanectl_json(&entry, &["status"])["open_requests"] == 0).await;
    });
}

#[test]
fn caller_that_reads_too_slowly_is_disconnected() {
    let fast = EngineOptions { step: Duration::from_micros(200), ..EngineOptions::default() };
    let a = Engine::spawn(fast);
    let limits = serde_json::json!({ "stream_bytes": 4_096, "caller_stall_ms": 300 });
    let deployment = deployment().engines(&replicas(&[&a])).set("/limits", limits);
    let entry = deployment.start();
    let caller = deployment.caller(&entry);

    block_on(async {
        let mut stream = caller.stream(MODEL, PROMPT, 1_000_000).await;
        stream.events(1).await;
        // The caller reads nothing from here on, so back-pressure reaches the engine.
        until(|| a.stats().cancelled == 1).await;
        assert!(!stream.finish().await.complete);
    });
}

#[test]
fn engine_that_refuses_is_replaced_by_another() {
    let (a, b) = (engine(), engine());
    let (_entry, caller) = start_entry_with(&[&a, &b]);
    a.refuse(true);

    block_on(async {
        for _ in 0..6 {
            undisturbed(&caller).await;
        }
        assert_eq!((a.stats().fresh, b.stats().fresh), (0, 6));
        b.refuse(true);
        let refused = caller.chat(MODEL, PROMPT, TOKENS).await;
        assert_eq!((refused.status, refused.run.as_deref()), (502, Some("not_run")));
        assert_eq!(refused.code(), "attempts_exhausted");
    });
}

//! Streams of numbered events while endpoints of several software versions serve side by side: a
//! stream goes on only at the version that began it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use futures_util::future::join_all;
use hyper::Method;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::Proxy;
use vaneway_test_support::StreamCaller;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::path_view;
use vaneway_test_support::path_view::Paths;
use vaneway_test_support::wire_endpoint::Behaviour;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::support::block_on;

/// Two endpoints of each of two software versions.
const TWO_OF_EACH: [(&str, &str); 4] = [("i-a", "v1"), ("i-b", "v1"), ("i-c", "v2"), ("i-d", "v2")];

/// One endpoint of each of two software versions.
const ONE_OF_EACH: [(&str, &str); 2] = [("i-a", "v1"), ("i-b", "v2")];

/// Streams of one test; enough that some would go on at another version if the version were not
/// considered.
const STREAMS: usize = 20;

/// Retries of all entry boxes together that need not be earned by requests; more than any test
/// causes.
const RETRIES: u32 = 10_000;

/// Number of setups in [`rounds`].
const ROUNDS: u32 = 4;

/// Seed of the order in which streams are sent.
const ORDER_SEED: u64 = 57;

/// Number of the event after which streams are interrupted for the first time.
const FIRST_PART: u32 = 3;

/// Number of the event after which streams are interrupted for the second time.
const SECOND_PART: u32 = 6;

/// Time that a stream may be held, in milliseconds; far longer than any test should take.
const ROUTE_TIMEOUT_MS: u64 = 60_000;

/// Margin for the difference between this process's clock and the cluster time, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 100;

/// Longest pause between two events that keeps a stream in time, in milliseconds; so long that no
/// stream is given up because its endpoint pauses.
const PAUSE_OBJECTIVE_MS: u64 = 30_000;

/// Time for a box to notice something; far longer than it should take, and much shorter than
/// [`ROUTE_TIMEOUT_MS`].
const NOTICE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which the response to a request is no longer in time for its route's objective.
const PAST_OBJECTIVE: Duration = Duration::from_millis(1_200);

/// Requests sent one after the other after an endpoint crashed, over longer than a neighbour is left
/// out.
const AFTER_CRASH: usize = 20;

/// Pause between two requests to a box that is expected to notice something.
const PAUSE: Duration = Duration::from_millis(20);

/// Requests served in a row after which a cut-off box counts as recovered.
const SERVED_IN_A_ROW: u32 = 6;

/// A control box, entry boxes and endpoints.
struct Setup {
    control: ControlGroup,
    /// The entry boxes by number; none if one was killed.
    entries: Vec<Option<Process>>,
    endpoints: Vec<WireEndpoint>,
    /// Proxies in front of the endpoints for entry box 0, if it can be cut off.
    paths: Vec<Proxy>,
    heartbeats: u64,
}

fn long_streams() -> Value {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().expect("a list") {
        if route["kind"] == "streaming" {
            route["timeout_ms"] = ROUTE_TIMEOUT_MS.into();
            route["gap_target_ms"] = PAUSE_OBJECTIVE_MS.into();
        }
    }
    configuration
}

impl Setup {
    /// Starts `entries` entry boxes in front of endpoints with these instance ids and versions.
    fn start(entries: usize, endpoints: &[(&str, &str)]) -> Self {
        let mut setup = Self::without_entries(endpoints);
        for _ in 0..entries {
            setup.start_entry();
        }
        setup.wait_until_known();
        setup
    }

    /// Like [`Setup::start`], with proxies between entry box 0 and the endpoints.
    fn start_with_paths(entries: usize, endpoints: &[(&str, &str)]) -> Self {
        let mut setup = Self::without_entries(endpoints);
        let addresses = setup.endpoints.iter().map(WireEndpoint::address);
        setup.paths = addresses.clone().map(Proxy::tcp).collect();
        let view: Paths = addresses.zip(setup.paths.iter().map(Proxy::address)).collect();
        let seed = path_view::spawn(setup.control.cluster_address(0), view);
        setup.start_entry_at(seed);
        for _ in 1..entries {
            setup.start_entry();
        }
        setup.wait_until_known();
        setup
    }

    fn without_entries(endpoints: &[(&str, &str)]) -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, 1, Some("platform"));
        control.configure(&long_streams());
        let endpoints =
            endpoints.iter().map(|(id, version)| WireEndpoint::spawn_with_version(id, version));
        let endpoints = endpoints.collect();
        let mut setup =
            Self { control, entries: Vec::new(), endpoints, paths: Vec::new(), heartbeats: 0 };
        setup.send_heartbeats();
        setup
    }

    fn send_heartbeats(&mut self) {
        self.heartbeats += 1;
        for endpoint in &self.endpoints {
            let (path, body) = endpoint.heartbeat("maps", "ready", self.heartbeats);
            self.call_control(&path, &body);
        }
    }

    fn call_control(&self, path: &str, body: &str) {
        self.control.until("the control box accepts a call", |i| {
            let response = self.control.call(i, "POST", path, body);
            response.is_some_and(|response| response.status == 200)
        });
    }

    /// Starts the entry box with the next number.
    fn start_entry(&mut self) {
        self.start_entry_at(self.control.cluster_address(0));
    }

    /// Starts the entry box with the next number, which connects to the control box at `seed`. All
    /// streams of a test may be retried.
    fn start_entry_at(&mut self, seed: SocketAddr) {
        let name = format!("entry-{}", self.entries.len());
        let mut settings = self.control.entry_settings(&name);
        settings["control"] = json!({
            "seeds": [seed], "port": seed.port(), "retries": { "slack": RETRIES }
        });
        self.entries.push(Some(self.control.start_with_settings(&settings)));
    }

    /// Waits until every running entry box knows the configuration, the endpoints and the other
    /// running boxes.
    fn wait_until_known(&self) {
        for (i, entry) in self.entries.iter().enumerate() {
            let Some(entry) = entry else { continue };
            entry.wait_for_log(&["event=configured", "version=1"]);
            for endpoint in &self.endpoints {
                entry
                    .wait_for_log(&["event=endpoint", &format!("replica={}", endpoint.instance())]);
            }
            let others = (0..self.entries.len()).filter(|other| *other != i);
            let others = others.filter(|other| self.entries[*other].is_some());
            let names: Vec<String> = others.map(|other| format!("entry-{other}")).collect();
            let mut parts = vec!["event=neighbours"];
            parts.extend(names.iter().map(String::as_str));
            if !names.is_empty() {
                entry.wait_for_log(&parts);
            }
        }
    }

    /// Registers another endpoint, whose incarnation started at `born`, and waits until every
    /// running entry box knows it.
    fn start_endpoint(&mut self, endpoint: WireEndpoint, born: u64) {
        let (path, body) = endpoint.heartbeat_with_start("maps", born, 1);
        self.call_control(&path, &body);
        self.endpoints.push(endpoint);
        self.wait_until_known();
    }

    /// Kills the control box and all entry boxes.
    fn kill_all_boxes(&mut self) {
        self.entries.iter_mut().for_each(|entry| *entry = None);
        self.control.kill(0);
    }

    /// Cuts entry box 0 off from all endpoints, with resets and refusals, and waits until it serves
    /// its callers nevertheless.
    fn cut_off(&self) {
        self.paths.iter().for_each(|path| path.refuse(true));
        self.paths.iter().for_each(|path| path.cut(true));
        let caller = Caller::new(self.entry(0).listen(), KEY).with_host(HOST);
        let send = async || {
            let headers = [("x-request-id", "early"), ("x-deadline-ms", "600")];
            caller.send_with(Method::POST, "/safe/x", &headers, "b").await.status
        };
        let deadline = Instant::now() + NOTICE_TIMEOUT;
        let mut in_a_row = 0;
        while in_a_row < SERVED_IN_A_ROW {
            assert!(Instant::now() < deadline, "the cut-off box serves nothing");
            in_a_row = if block_on(send()) == 200 { in_a_row + 1 } else { 0 };
            std::thread::sleep(PAUSE);
        }
    }

    /// Kills all entry boxes at once and starts as many.
    fn restart_entries(&mut self) {
        let killed = self.entries.iter_mut().filter_map(Option::take).map(Process::kill).count();
        (0..killed).for_each(|_| self.start_entry());
    }

    fn entry(&self, i: usize) -> &Process {
        self.entries[i].as_ref().expect("the entry box is running")
    }

    fn kill_entry(&mut self, i: usize) {
        self.entries[i].take().expect("the entry box is running").kill();
    }

    /// Crashes the endpoint with this instance id.
    fn crash(&mut self, instance: &str) {
        self.endpoints.retain(|endpoint| endpoint.instance() != instance);
    }

    fn behave(&self, behaviour: Behaviour) {
        self.endpoints.iter().for_each(|endpoint| endpoint.behave(behaviour));
    }

    /// Number of runs of the request with this id at all endpoints.
    fn runs(&self, id: &str) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.runs(id)).sum()
    }

    /// Number of the entry box through which entry box 0 forwarded the request with this id.
    fn neighbour_of(&self, id: &str) -> usize {
        let request = format!("request={id} ");
        let line = self.entry(0).wait_for_log(&["event=forwarded", &request]);
        let number = line.rsplit("neighbour=entry-").next().and_then(|number| number.parse().ok());
        number.unwrap_or_else(|| panic!("no number of a neighbour: {line}"))
    }

    /// Begins streams at entry box `i` and reads each up to event [`FIRST_PART`], after which the
    /// endpoints pause.
    async fn begin_streams(&self, i: usize) -> Vec<StreamCaller> {
        self.behave(Behaviour::PauseAfter(FIRST_PART));
        let mut streams: Vec<_> = (0..STREAMS).map(|n| stream(&format!("stream-{n}"))).collect();
        self.send_all(&mut streams, i, FIRST_PART).await;
        for stream in &streams {
            assert_eq!((stream.status(), stream.last_number()), (Some(200), FIRST_PART));
        }
        streams
    }

    /// Begins streams at entry box 0, and reads those of version v2 to their end, so that its
    /// endpoints have fewer open requests than those of v1. Returns the streams of v1.
    async fn begin_streams_of_loaded_version(&self) -> Vec<StreamCaller> {
        let streams = self.begin_streams(0).await;
        let (others, streams): (Vec<_>, Vec<_>) =
            streams.into_iter().partition(|stream| stream.versions().contains("v2"));
        for endpoint in &self.endpoints {
            if others.iter().any(|stream| stream.events()[0].instance == endpoint.instance()) {
                endpoint.behave(Behaviour::Respond);
                endpoint.send_paused();
            }
        }
        join_all(others.into_iter().map(async |mut stream| stream.finish().await)).await;
        streams
    }

    /// Begins a stream at entry box 0 and reads its first part, after which its endpoint pauses.
    async fn begin_stream(&self) -> StreamCaller {
        self.behave(Behaviour::PauseAfter(FIRST_PART));
        let mut stream = stream("stream");
        stream.send(self.entry(0).listen()).await;
        stream.read_until(FIRST_PART).await;
        stream
    }

    /// Crashes the endpoint that began a stream and reads the answer to its end, for which the other
    /// endpoints send all further events. Returns how long that took.
    async fn finish_after_crash(&mut self, stream: &mut StreamCaller) -> Duration {
        let instance = stream.events()[0].instance.clone();
        self.behave(Behaviour::Respond);
        self.crash(&instance);
        let crashed = Instant::now();
        stream.finish().await;
        crashed.elapsed()
    }

    /// Begins streams at entry box 0, crashes endpoint `i-a` midway, and reads all answers to
    /// their end, for which the other endpoints send all further events. Returns the streams that
    /// the crash interrupted.
    fn streams_after_crash(&mut self) -> Vec<StreamCaller> {
        block_on(async {
            let mut streams = self.begin_streams_of_loaded_version().await;
            streams.retain(|stream| stream.events()[0].instance == "i-a");
            assert!(!streams.is_empty(), "some of {STREAMS} streams run at i-a");
            self.behave(Behaviour::Respond);
            self.crash("i-a");
            join_all(streams.iter_mut().map(StreamCaller::finish)).await;
            streams
        })
    }

    /// Begins streams at entry box 0, kills the neighbour through which it forwards the first of
    /// them, and reads all answers to their end. Returns the streams that the kill interrupted.
    fn streams_after_death_of_neighbour(&mut self) -> Vec<StreamCaller> {
        block_on(async {
            let mut streams = self.begin_streams_of_loaded_version().await;
            let neighbour = self.neighbour_of(&streams[0].id());
            streams.retain(|stream| self.neighbour_of(&stream.id()) == neighbour);
            self.kill_entry(neighbour);
            self.behave(Behaviour::Respond);
            self.endpoints.iter().for_each(WireEndpoint::send_paused);
            join_all(streams.iter_mut().map(StreamCaller::finish)).await;
            streams
        })
    }

    /// Begins streams at entry box 0, kills it as soon as half of them have their first event, and
    /// takes up, at entry box 1, those that have one.
    fn streams_of_a_box_killed_at_their_first_events(&mut self) -> Vec<StreamCaller> {
        self.behave(Behaviour::PauseAfter(1));
        let entry = self.entry(0).listen();
        let process = RefCell::new(self.entries[0].take());
        let begun = Cell::new(0);
        block_on(async {
            let mut streams: Vec<_> =
                (0..STREAMS).map(|n| stream(&format!("stream-{n}"))).collect();
            let each = streams.iter_mut().map(async |stream| {
                stream.send(entry).await;
                stream.read_until(1).await;
                begun.set(begun.get() + stream.last_number());
                if begun.get() as usize >= STREAMS / 2
                    && let Some(process) = process.take()
                {
                    process.kill();
                }
            });
            join_all(each).await;
            streams.retain(|stream| stream.last_number() > 0);
            self.take_up(&mut streams, 1).await;
            streams
        })
    }

    /// Takes streams up at entry box `i`, where the endpoints send all further events.
    async fn take_up(&self, streams: &mut [StreamCaller], i: usize) {
        self.behave(Behaviour::Respond);
        self.send_all(streams, i, u32::MAX).await;
    }

    /// Takes streams up at entry box `i` from its start, again and again until each is taken up, and
    /// reads them up to event `last`. Streams of version `gone` are given up when they are refused.
    async fn take_up_at_start(
        &self,
        streams: &mut [StreamCaller],
        i: usize,
        last: u32,
        gone: Option<&str>,
    ) {
        self.behave(if last == u32::MAX {
            Behaviour::Respond
        } else {
            Behaviour::PauseAfter(last)
        });
        let entry = self.entry(i).listen();
        let deadline = Instant::now() + NOTICE_TIMEOUT;
        let each = streams.iter_mut().map(async |stream| {
            stream.send(entry).await;
            while stream.status() != Some(200) {
                let is_gone = gone.is_some_and(|gone| stream.versions().contains(gone));
                if is_gone && Instant::now() + NOTICE_TIMEOUT / 2 > deadline {
                    return;
                }
                assert!(Instant::now() < deadline, "{:?}: refused for too long", stream.status());
                compio::time::sleep(PAUSE).await;
                stream.send(entry).await;
            }
            stream.read_until(last).await;
        });
        join_all(each).await;
    }

    /// Takes a stream up at entry box `i`, and panics unless the request is refused at once and has
    /// not run.
    async fn assert_refused(&self, stream: &mut StreamCaller, i: usize) {
        let sent = Instant::now();
        stream.send(self.entry(i).listen()).await;
        let elapsed = sent.elapsed();
        assert_eq!((stream.status(), self.runs(&stream.id())), (Some(503), 0));
        assert!(stream.is_refused(), "no valid Retry-After");
        assert!(elapsed < NOTICE_TIMEOUT, "the request is held: {elapsed:?}");
    }

    /// Sends the next attempt of each stream to entry box `i` and reads it up to event `last`.
    /// Each time in another order, so that endpoints which are chosen in turn would get streams of
    /// others.
    async fn send_all(&self, streams: &mut [StreamCaller], i: usize, last: u32) {
        streams.shuffle(&mut Pcg64Mcg::seed_from_u64(ORDER_SEED));
        let entry = self.entry(i).listen();
        let each = streams.iter_mut().map(async |stream| {
            stream.send(entry).await;
            stream.read_until(last).await;
        });
        join_all(each).await;
    }
}

/// A start time after everything sent so far, in Unix milliseconds.
fn later_than_now() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time after 1970");
    now.as_millis() as u64 + CLOCK_MARGIN_MS
}

/// A caller of a stream that may be resumed.
fn stream(name: &str) -> StreamCaller {
    StreamCaller::new(KEY, HOST, "/stream/x", name)
}

/// The streams of several setups. Where one fault interrupts only a few streams, all of these could
/// go on at their version by chance.
fn rounds(streams: impl Fn() -> Vec<StreamCaller>) -> Vec<StreamCaller> {
    (0..ROUNDS).flat_map(|_| streams()).collect()
}

/// The answer holds events of one version and was cut after the first part.
fn assert_cut_after_first_part(stream: &StreamCaller) {
    assert_one_version_each(std::slice::from_ref(stream));
    assert_eq!((stream.last_number(), stream.is_complete()), (FIRST_PART, false));
}

/// Panics if a stream holds events of several versions.
fn assert_one_version_each(streams: &[StreamCaller]) {
    let mixed: Vec<_> = streams
        .iter()
        .filter(|stream| stream.versions().len() > 1)
        .map(StreamCaller::events)
        .collect();
    assert!(
        mixed.is_empty(),
        "{} of {} streams hold events of several versions, the first one {:?}",
        mixed.len(),
        streams.len(),
        mixed[0]
    );
}

/// Panics unless at least half of the streams are complete.
fn assert_half_go_on(streams: &[StreamCaller]) {
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    let statuses: Vec<_> = streams.iter().map(StreamCaller::status).collect();
    assert!(2 * complete >= streams.len(), "{complete} streams go on: {statuses:?}");
}

/// Guards against an answer that goes on at an endpoint of another version after its endpoint
/// crashed, although one of its own version serves.
#[test]
fn interrupted_answer_goes_on_at_its_version() {
    let streams = rounds(|| Setup::start(1, &TWO_OF_EACH).streams_after_crash());
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against an answer that goes on at another version, or is held until its deadline, because
/// no other endpoint of its version serves.
#[test]
fn interrupted_answer_is_cut_at_once_if_only_other_versions_serve() {
    let mut setup = Setup::start(1, &ONE_OF_EACH);
    let (stream, elapsed) = block_on(async {
        let mut stream = setup.begin_stream().await;
        let elapsed = setup.finish_after_crash(&mut stream).await;
        (stream, elapsed)
    });
    assert_cut_after_first_part(&stream);
    assert!(elapsed < NOTICE_TIMEOUT, "the answer is held: {elapsed:?}");
}

/// Guards against a stream that is taken up at another version because the box that knew its
/// version was killed, and against a box that refuses all such streams.
#[test]
fn stream_of_a_killed_box_goes_on_at_its_version_through_another_box() {
    let mut setup = Setup::start(2, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_entry(0);
        setup.take_up(&mut streams, 1).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream that is refused because its box was killed after the caller had the first
/// event, but before a control box was sent where the stream began.
#[test]
fn stream_of_a_box_killed_at_its_first_event_goes_on() {
    let mut refused = Vec::new();
    for _ in 0..ROUNDS {
        let mut setup = Setup::start(2, &TWO_OF_EACH);
        let streams = setup.streams_of_a_box_killed_at_their_first_events();
        assert_one_version_each(&streams);
        let complete = streams.iter().filter(|stream| stream.is_complete()).count();
        refused.push((streams.len() - complete, streams.len()));
    }
    println!("streams that don't go on, of all that have an event: {refused:?}");
    assert!(refused.iter().all(|(refused, _)| *refused == 0), "{refused:?}");
}

/// Guards against a stream that is taken up at another version when it is taken up a second time:
/// its caller still names the first attempt, which reached neither of the boxes that are left.
#[test]
fn stream_taken_up_twice_goes_on_at_its_version() {
    let mut setup = Setup::start(3, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_entry(0);
        setup.behave(Behaviour::PauseAfter(SECOND_PART));
        setup.send_all(&mut streams, 1, SECOND_PART).await;
        setup.kill_entry(1);
        setup.take_up(&mut streams, 2).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream that is taken up at another version at the box that began it, after its
/// caller broke the connection.
#[test]
fn stream_taken_up_at_its_own_box_goes_on_at_its_version() {
    let setup = Setup::start(1, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.take_up(&mut streams, 0).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a box that guesses the version of a stream that no box knows. It refuses the
/// request at once, which has not run.
#[test]
fn stream_that_no_box_knows_is_refused_while_several_versions_serve() {
    let setup = Setup::start(2, &TWO_OF_EACH);
    let mut stream = stream("late").with_received("never-begun", FIRST_PART);
    block_on(setup.assert_refused(&mut stream, 0));
    let refused = ["event=stream_taken_up", "first_request=never-begun", "unknown=unrecorded"];
    setup.entry(0).wait_for_log(&refused);
}

/// Guards against a stream that is taken up at another version, or held, after the last endpoint of
/// its version has gone. It is refused at once at each box, and has not run.
#[test]
fn stream_is_refused_when_no_endpoint_of_its_version_is_left() {
    let mut setup = Setup::start(2, &ONE_OF_EACH);
    block_on(async {
        let mut stream = setup.begin_stream().await;
        stream.leave();
        let gone = stream.events()[0].instance.clone();
        setup.behave(Behaviour::Respond);
        setup.crash(&gone);
        setup.call_control(&format!("/instances/{gone}/deregister"), "{}");
        for entry in setup.entries.iter().flatten() {
            let replica = format!("replica={gone}");
            entry.wait_for_log(&["event=endpoint", &replica, "standing=gone"]);
        }
        for i in [0, 1] {
            setup.assert_refused(&mut stream, i).await;
            let failed = ["event=stream_not_resumed", "code=software_gone", "known=1 staying=0"];
            setup.entry(i).wait_for_log(&failed);
        }
    });
}

/// Guards against a stream that is taken up at another version at a box that started after it
/// began, and whose own box was killed.
#[test]
fn stream_goes_on_at_its_version_through_a_box_that_started_later() {
    let mut setup = Setup::start(2, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_entry(0);
        setup.start_entry();
        setup.wait_until_known();
        setup.take_up(&mut streams, 2).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream that is taken up at another version while no control box can say where
/// it began, because the control box died before it began.
#[test]
fn stream_begun_without_control_boxes_never_goes_on_at_another_version() {
    let mut setup = Setup::start(3, &TWO_OF_EACH);
    setup.control.kill(0);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_entry(0);
        setup.take_up(&mut streams, 1).await;
        streams
    });
    assert_one_version_each(&streams);
}

/// Guards against a stream that is taken up at another version because the control box died
/// together with the box that began it.
#[test]
fn stream_never_goes_on_at_another_version_after_its_box_and_the_control_box_died() {
    let mut setup = Setup::start(3, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.control.kill(0);
        setup.kill_entry(0);
        setup.take_up(&mut streams, 1).await;
        streams
    });
    assert_one_version_each(&streams);
}

/// Guards against a stream that is taken up at another version after all boxes were killed and
/// started again with what they had stored.
#[test]
fn stream_never_goes_on_at_another_version_after_all_boxes_started_again() {
    let mut setup = Setup::start(2, &TWO_OF_EACH);
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_all_boxes();
        setup.control.start_box(0, false);
        setup.send_heartbeats();
        setup.start_entry();
        setup.wait_until_known();
        setup.take_up(&mut streams, 2).await;
        streams
    });
    assert_one_version_each(&streams);
}

/// Guards against a stream that is taken up at the endpoint that began it, after that endpoint has
/// started again under its id with another version. Once another endpoint of the stream's version
/// serves, the stream goes on there.
#[test]
fn stream_is_not_taken_up_at_an_endpoint_that_started_again_with_another_version() {
    const BORN: u64 = 1_000;
    let mut setup = Setup::start(2, &[]);
    let restarted = WireEndpoint::spawn_with_version("i-a", "v1");
    setup.start_endpoint(restarted, BORN);
    let stream = block_on(async {
        let mut stream = setup.begin_stream().await;
        stream.leave();
        setup.endpoints[0].set_version("v2");
        let (path, body) = setup.endpoints[0].heartbeat_with_start("maps", later_than_now(), 1);
        setup.call_control(&path, &body);
        for entry in setup.entries.iter().flatten() {
            entry.wait_for_log(&["event=endpoint_reborn", "replica=i-a"]);
        }
        setup.behave(Behaviour::Respond);
        for i in [0, 1] {
            setup.assert_refused(&mut stream, i).await;
        }
        setup.start_endpoint(WireEndpoint::spawn_with_version("i-b", "v1"), BORN);
        stream.send(setup.entry(1).listen()).await;
        stream.finish().await;
        stream
    });
    assert_one_version_each(std::slice::from_ref(&stream));
    assert!(stream.is_complete(), "status {:?}", stream.status());
}

/// Guards against a stream that goes on at the earlier version of its endpoint, which had started
/// again with another one before the stream began and registers late.
#[test]
fn stream_whose_endpoint_registers_late_with_another_version_goes_on_nowhere() {
    const BORN: u64 = 1_000;
    let mut setup = Setup::start(2, &[]);
    for instance in ["i-a", "i-b"] {
        setup.start_endpoint(WireEndpoint::spawn_with_version(instance, "v1"), BORN);
    }
    block_on(async {
        let mut stream = setup.begin_stream().await;
        let first = stream.events()[0].instance.clone();
        let late = setup.endpoints.iter().find(|endpoint| endpoint.instance() == first);
        let late = late.expect("one of the endpoints");
        late.set_version("v2");
        let (path, body) = late.heartbeat_with_start("maps", BORN + 1, 1);
        setup.call_control(&path, &body);
        setup.behave(Behaviour::Respond);
        stream.finish().await;
        assert_eq!((stream.last_number(), stream.is_complete()), (FIRST_PART, false));
        for i in [0, 1] {
            setup.assert_refused(&mut stream, i).await;
        }
    });
}

/// Guards against an answer that goes on at an endpoint that had its version when the stream began,
/// and has started again with another one since.
#[test]
fn interrupted_answer_does_not_go_on_at_an_endpoint_that_changed_its_version_meanwhile() {
    const BORN: u64 = 1_000;
    let mut setup = Setup::start(1, &[]);
    for instance in ["i-a", "i-b"] {
        setup.start_endpoint(WireEndpoint::spawn_with_version(instance, "v1"), BORN);
    }
    let stream = block_on(async {
        let mut stream = setup.begin_stream().await;
        let first = stream.events()[0].instance.clone();
        let other = setup.endpoints.iter().find(|endpoint| endpoint.instance() != first);
        let other = other.expect("two endpoints");
        other.set_version("v2");
        let (path, body) = other.heartbeat_with_start("maps", 2 * BORN, 1);
        setup.call_control(&path, &body);
        let replica = format!("replica={}", other.instance());
        setup.entry(0).wait_for_log(&["event=endpoint_reborn", &replica]);
        setup.behave(Behaviour::Respond);
        setup.crash(&first);
        stream.finish().await;
        stream
    });
    assert_cut_after_first_part(&stream);
}

/// Guards against an answer that changes its version because a neighbour forwards it, and its
/// endpoint crashed.
#[test]
fn forwarded_answer_goes_on_at_its_version_after_its_endpoint_crashed() {
    let streams = rounds(|| {
        let mut setup = Setup::start_with_paths(3, &TWO_OF_EACH);
        setup.cut_off();
        setup.streams_after_crash()
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a forwarded answer that is held until its deadline because no other endpoint of its
/// version serves: each neighbour that was asked is left out, and none is left to ask.
#[test]
fn forwarded_answer_is_cut_at_once_if_only_other_versions_serve() {
    let mut setup = Setup::start_with_paths(3, &ONE_OF_EACH);
    setup.cut_off();
    let (stream, elapsed) = block_on(async {
        let mut stream = setup.begin_stream().await;
        std::thread::sleep(PAST_OBJECTIVE);
        let elapsed = setup.finish_after_crash(&mut stream).await;
        (stream, elapsed)
    });
    assert_cut_after_first_part(&stream);
    assert!(elapsed < NOTICE_TIMEOUT, "the answer is held: {elapsed:?}");
}

/// Guards against a cut-off box that leaves out a neighbour, for all requests, because an endpoint
/// that the neighbour chose for one of them had crashed.
#[test]
fn neighbour_is_not_left_out_for_an_endpoint_that_has_crashed() {
    let mut setup = Setup::start_with_paths(3, &ONE_OF_EACH);
    setup.cut_off();
    let statuses = block_on(async {
        let stream = setup.begin_stream().await;
        std::thread::sleep(PAST_OBJECTIVE);
        let instance = stream.events()[0].instance.clone();
        let caller = Caller::new(setup.entry(0).listen(), KEY).with_host(HOST);
        setup.behave(Behaviour::Respond);
        setup.crash(&instance);
        let mut statuses = Vec::new();
        for i in 0..AFTER_CRASH {
            let id = format!("after-{i}");
            let headers = [("x-request-id", &*id), ("x-deadline-ms", "600")];
            statuses.push(caller.send_with(Method::POST, "/safe/x", &headers, "b").await.status);
            std::thread::sleep(PAUSE);
        }
        statuses
    });
    assert_eq!(statuses, [200; AFTER_CRASH]);
}

/// Guards against a forwarded answer that is held until its deadline because each neighbour was
/// asked once, although one of them reaches an endpoint of its version.
#[test]
fn forwarded_answer_goes_on_through_a_neighbour_that_was_asked_before() {
    let mut setup = Setup::start_with_paths(3, &[("i-a", "v1"), ("i-b", "v1")]);
    setup.cut_off();
    let (stream, elapsed) = block_on(async {
        let mut stream = setup.begin_stream().await;
        let other = [1, 2].into_iter().find(|i| *i != setup.neighbour_of(&stream.id()));
        setup.kill_entry(other.expect("two neighbours"));
        std::thread::sleep(PAST_OBJECTIVE);
        let elapsed = setup.finish_after_crash(&mut stream).await;
        (stream, elapsed)
    });
    assert!(stream.is_complete(), "cut after event {}: {elapsed:?}", stream.last_number());
    assert!(elapsed < NOTICE_TIMEOUT, "the answer is held: {elapsed:?}");
}

/// Guards against an answer that changes its version because the neighbour that forwards it is
/// killed.
#[test]
fn forwarded_answer_keeps_its_version_after_the_neighbour_died() {
    let streams = rounds(|| {
        let mut setup = Setup::start_with_paths(3, &TWO_OF_EACH);
        setup.cut_off();
        setup.streams_after_death_of_neighbour()
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream that is taken up at another version because it was forwarded through a
/// neighbour, and its box was killed.
#[test]
fn stream_that_a_killed_box_forwarded_goes_on_at_its_version() {
    let mut setup = Setup::start_with_paths(3, &TWO_OF_EACH);
    setup.cut_off();
    let streams = block_on(async {
        let mut streams = setup.begin_streams(0).await;
        setup.kill_entry(0);
        setup.take_up(&mut streams, 1).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream of a killed box that is taken up at another version because the box that
/// takes it up forwards it through a neighbour.
#[test]
fn stream_of_a_killed_box_goes_on_at_its_version_through_a_box_that_forwards_it() {
    let mut setup = Setup::start_with_paths(3, &TWO_OF_EACH);
    setup.cut_off();
    let streams = block_on(async {
        let mut streams = setup.begin_streams(1).await;
        setup.kill_entry(1);
        setup.take_up(&mut streams, 0).await;
        streams
    });
    assert_one_version_each(&streams);
    assert_half_go_on(&streams);
}

/// Guards against a stream that is refused, or bound to a version, though it begins anew: its caller
/// names an earlier attempt but has received no event.
#[test]
fn stream_from_its_beginning_runs_whatever_attempt_it_names() {
    let setup = Setup::start(1, &TWO_OF_EACH);
    let mut streams: Vec<_> = (0..STREAMS)
        .map(|n| stream(&format!("stream-{n}")).with_received("never-begun", 0))
        .collect();
    block_on(setup.take_up(&mut streams, 0));
    let complete = streams.iter().filter(|stream| stream.is_complete()).count();
    assert_eq!(complete, STREAMS);
    let versions: BTreeSet<_> = streams.iter().flat_map(StreamCaller::versions).collect();
    assert_eq!(versions, BTreeSet::from(["v1", "v2"]));
}

/// Guards against a caller that is refused although only one version serves: it has received events
/// and names no attempt.
#[test]
fn stream_that_names_no_attempt_goes_on_while_one_version_serves() {
    let setup = Setup::start(1, &[("i-a", "v1"), ("i-b", "v1")]);
    let mut stream = stream("late").without_first_attempt().with_received("", FIRST_PART);
    block_on(async {
        stream.send(setup.entry(0).listen()).await;
        stream.finish().await;
    });
    assert!(stream.is_complete(), "status {:?}", stream.status());
}

/// Guards against a box that guesses the version of a stream whose caller names no attempt. It
/// refuses the request at once, which has not run.
#[test]
fn stream_that_names_no_attempt_is_refused_while_several_versions_serve() {
    let setup = Setup::start(1, &TWO_OF_EACH);
    let mut stream = stream("late").without_first_attempt().with_received("", FIRST_PART);
    block_on(setup.assert_refused(&mut stream, 0));
}

/// Guards against streams that are joined from two versions because all entry boxes were killed: they
/// are taken up at boxes that have just started, one version serves on with fewer endpoints, and a new
/// one has come.
#[test]
fn streams_of_entry_boxes_that_were_all_killed_go_on_at_their_versions() {
    let mut setup = Setup::start(2, &TWO_OF_EACH);
    let mut streams = block_on(setup.begin_streams(0));
    setup.restart_entries();
    block_on(setup.take_up_at_start(&mut streams, 2, SECOND_PART, None));
    setup.start_endpoint(WireEndpoint::spawn_with_version("i-e", "v3"), 1);
    setup.call_control("/instances/i-a/deregister", "{}");
    setup.restart_entries();
    block_on(setup.take_up_at_start(&mut streams, 5, u32::MAX, None));

    assert_one_version_each(&streams);
    for version in ["v1", "v2"] {
        let own = streams.iter().filter(|stream| stream.versions().contains(version));
        let taken_up_twice = own.filter(|stream| stream.is_complete()).count();
        assert!(taken_up_twice > 0, "no stream of {version} was taken up twice");
    }
    assert!(streams.iter().all(StreamCaller::is_complete));
}

/// Guards against streams that are joined from two versions because all entry boxes were killed just
/// after the last endpoint of one version had left. They are refused, and those of the other go on.
#[test]
fn streams_of_a_version_that_has_just_left_go_on_nowhere_after_all_entry_boxes_were_killed() {
    let mut setup = Setup::start(2, &TWO_OF_EACH);
    let mut streams = block_on(setup.begin_streams(0));
    for instance in ["i-a", "i-b"] {
        setup.call_control(&format!("/instances/{instance}/deregister"), "{}");
        setup.crash(instance);
    }
    setup.restart_entries();
    block_on(setup.take_up_at_start(&mut streams, 2, u32::MAX, Some("v1")));

    assert_one_version_each(&streams);
    let complete = |version: &str| {
        let own = streams.iter().filter(|stream| stream.versions().contains(version));
        own.filter(|stream| stream.is_complete()).count()
    };
    assert_eq!(complete("v1"), 0);
    assert!(complete("v2") > 0, "streams of v2 go on");
}

/// Guards against a stream that is joined from two versions, at boxes that know one version only
/// because all of them started after the endpoints of the other had left. Its caller names no attempt.
#[test]
fn stream_that_names_no_attempt_is_refused_by_boxes_that_all_started_after_it() {
    refuse_unnamed_stream_after_all_boxes_started(false);
}

/// Guards against the same while the settings still allow the control box to form a group, as at its
/// first start.
#[test]
fn stream_that_names_no_attempt_is_refused_though_a_start_may_form_a_group() {
    refuse_unnamed_stream_after_all_boxes_started(true);
}

fn refuse_unnamed_stream_after_all_boxes_started(form_group: bool) {
    let mut setup = Setup::start(1, &[("i-a", "v1"), ("i-b", "v1")]);
    let mut stream = stream("stream").without_first_attempt();
    setup.behave(Behaviour::PauseAfter(FIRST_PART));
    block_on(async {
        stream.send(setup.entry(0).listen()).await;
        stream.read_until(FIRST_PART).await;
        stream.leave();
    });
    setup.kill_all_boxes();
    setup.endpoints = vec![WireEndpoint::spawn_with_version("i-c", "v2")];
    setup.control.start_box(0, form_group);
    setup.send_heartbeats();
    setup.start_entry();
    setup.wait_until_known();
    block_on(setup.assert_refused(&mut stream, 1));
    assert_one_version_each(std::slice::from_ref(&stream));
}

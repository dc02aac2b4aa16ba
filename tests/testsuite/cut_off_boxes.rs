//! Entry boxes that reach no endpoint while callers, control boxes and the other entry boxes reach
//! them.
//!
//! docs/incidents/cut-off-boxes.md describes the incident that these tests guard against.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use serde_json::json;
use vaneway_test_support::Caller;
use vaneway_test_support::ControlGroup;
use vaneway_test_support::Process;
use vaneway_test_support::Proxy;
use vaneway_test_support::WireEndpoint;
use vaneway_test_support::path_view;
use vaneway_test_support::path_view::Paths;
use vaneway_test_support::wire_endpoint::Behaviour;
use vaneway_test_support::wire_endpoint::events;

use crate::platform_path::HOST;
use crate::platform_path::KEY;
use crate::platform_path::configuration;
use crate::platform_path::stream_headers;
use crate::support::block_on;

/// Time for the cut-off box to notice; far longer than it should take.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(15);

/// Requests served in a row after which the box counts as recovered.
const SERVED_IN_A_ROW: u32 = 6;

/// Requests of each kind that are counted after that.
const COUNTED: u32 = 20;

/// Requests sent at once where connections are to be used up.
const AT_ONCE: usize = 12;

/// Requests of an organisation whose quota allows fewer.
const QUOTA_REQUESTS: usize = 120;

/// Pause between two requests to a box that is expected to notice something.
const PAUSE: Duration = Duration::from_millis(20);

/// Paths of requests that may be repeated, that may run at most once, and that are answered by a
/// stream that can't be resumed.
const KINDS: [&str; 3] = ["/safe/x", "/once/x", "/fixed/x"];

/// Three endpoints, an entry box whose paths to them can fail, and two more, whose paths to them can
/// fail together.
struct Setup {
    control: ControlGroup,
    endpoints: Vec<WireEndpoint>,
    paths: Vec<Proxy>,
    entry: Process,
    paths_of_others: Vec<Proxy>,
    others: Vec<Process>,
}

/// Proxies in front of the endpoints, and the address at which an entry box that is to use them
/// reaches the control box.
fn paths(control: &ControlGroup, endpoints: &[WireEndpoint]) -> (Vec<Proxy>, SocketAddr) {
    let paths: Vec<_> = endpoints.iter().map(|endpoint| Proxy::tcp(endpoint.address())).collect();
    let addresses = endpoints.iter().map(WireEndpoint::address);
    let view: Paths = addresses.zip(paths.iter().map(Proxy::address)).collect();
    (paths, path_view::spawn(control.cluster_address(0), view))
}

fn caller_of(entry: &Process) -> Caller {
    Caller::new(entry.listen(), KEY).with_host(HOST)
}

async fn status_at(entry: &Process, id: &str, path: &str) -> u16 {
    let headers = match path {
        "/fixed/x" => stream_headers(id),
        _ => vec![("x-request-id", id), ("x-deadline-ms", "600")],
    };
    caller_of(entry).send_with(Method::POST, path, &headers, "body").await.status
}

/// Sends several requests at once to a box; returns their statuses.
fn send_at_once(entry: &Process, id: &str, path: &str) -> Vec<u16> {
    let ids: Vec<String> = (0..AT_ONCE).map(|i| format!("{id}-{i}")).collect();
    block_on(join_all(ids.iter().map(|id| status_at(entry, id, path))))
}

impl Setup {
    fn start() -> Self {
        let program = Path::new(env!("CARGO_BIN_EXE_vaneway"));
        let control = ControlGroup::start_adapted(program, 1, Some("platform"));
        let endpoints: Vec<_> =
            ["i-a", "i-b", "i-c"].into_iter().map(WireEndpoint::spawn).collect();
        let (paths, seed) = self::paths(&control, &endpoints);
        let entry = control.start_entry_at("entry-0", seed);
        let (paths_of_others, seed) = self::paths(&control, &endpoints);
        let others = ["entry-1", "entry-2"].map(|name| control.start_entry_at(name, seed));
        let others = Vec::from(others);
        control.configure(&configuration(1));
        for endpoint in &endpoints {
            let (path, body) = endpoint.heartbeat("maps", "ready", 1);
            let response = control.call(0, "POST", &path, &body).expect("a response");
            assert_eq!(response.status, 200);
        }
        for process in others.iter().chain([&entry]) {
            process.wait_for_log(&["event=configured", "version=1"]);
            for endpoint in ["replica=i-a", "replica=i-b", "replica=i-c"] {
                process.wait_for_log(&["event=endpoint", endpoint]);
            }
        }
        entry.wait_for_log(&["event=neighbours", "entry-1", "entry-2"]);
        Self { control, endpoints, paths, entry, paths_of_others, others }
    }

    /// Sends a request to the box whose paths can fail; returns its status.
    fn send(&self, id: &str, path: &str) -> u16 {
        block_on(self.status(id, path))
    }

    fn caller(&self) -> Caller {
        caller_of(&self.entry)
    }

    async fn status(&self, id: &str, path: &str) -> u16 {
        status_at(&self.entry, id, path).await
    }

    /// Sends several requests at once; returns their statuses.
    fn send_at_once(&self, id: &str, path: &str) -> Vec<u16> {
        send_at_once(&self.entry, id, path)
    }

    /// Sends requests of all kinds, so that connections to all endpoints are open.
    fn warm_up(&self) {
        for i in 0..12 {
            let path = KINDS[i % KINDS.len()];
            assert_eq!(self.send(&format!("warm-{i}"), path), 200);
        }
    }

    /// Sends requests until several in a row are served.
    fn wait_until_served(&self) {
        let deadline = Instant::now() + NOTICE_TIMEOUT;
        let mut in_a_row = 0;
        let mut sent = 0;
        while in_a_row < SERVED_IN_A_ROW {
            assert!(Instant::now() < deadline, "the cut-off box serves nothing: {sent} requests");
            let served = self.send(&format!("early-{sent}"), KINDS[sent % KINDS.len()]) == 200;
            in_a_row = if served { in_a_row + 1 } else { 0 };
            sent += 1;
            std::thread::sleep(PAUSE);
        }
    }

    /// Sends requests of each kind; returns the statuses of those that were not served.
    fn unserved(&self) -> Vec<(&'static str, u16)> {
        let mut unserved = Vec::new();
        for i in 0..COUNTED {
            for path in KINDS {
                let status = self.send(&format!("{path}-{i}"), path);
                if status != 200 {
                    unserved.push((path, status));
                }
            }
        }
        unserved
    }

    /// Number of runs of the request with this id at all endpoints.
    fn runs(&self, id: &str) -> u32 {
        self.endpoints.iter().map(|endpoint| endpoint.runs(id)).sum()
    }

    /// Log lines of all boxes that report ends of endpoints or requests that ended some, after longer
    /// than it takes to tell other boxes.
    fn reported_ends(&self) -> Vec<String> {
        std::thread::sleep(Duration::from_millis(500));
        let events = ["endpoint_ended_told", "endpoint_ended_under_request", "request_case_told"];
        let logs = self.others.iter().chain([&self.entry]).map(Process::log);
        let lines = logs.flat_map(|log| log.lines().map(str::to_owned).collect::<Vec<_>>());
        lines.filter(|line| events.iter().any(|event| line.contains(event))).collect()
    }

    /// Waits until `count` requests whose ids begin with `prefix` run.
    fn wait_for_runs(&self, prefix: &str, count: usize) {
        let deadline = Instant::now() + NOTICE_TIMEOUT;
        while (0..count).any(|i| self.runs(&format!("{prefix}-{i}")) == 0) {
            assert!(Instant::now() < deadline, "some of {count} requests do not run");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Cuts the box off from all endpoints, with resets and refusals, and waits until it serves its
    /// callers nevertheless.
    fn cut_off(&self) {
        self.paths.iter().for_each(|path| path.refuse(true));
        self.paths.iter().for_each(|path| path.cut(true));
        self.wait_until_served();
    }

    /// Applies a fault to all paths of the box, and expects it to serve its callers all the same.
    fn serves_while(&self, fault: impl Fn(&Proxy, bool)) {
        self.warm_up();
        self.paths.iter().for_each(|path| fault(path, true));
        self.wait_until_served();
        assert_eq!(self.unserved(), [], "{} other boxes reach all endpoints", self.others.len());
        for i in 0..COUNTED {
            assert_eq!(self.runs(&format!("/once/x-{i}")), 1, "request {i} ran once");
        }
        self.paths.iter().for_each(|path| fault(path, false));
    }
}

/// Guards against callers that are refused by a box whose connections to endpoints are reset and
/// whose new ones are refused, while other boxes reach the endpoints.
#[test]
fn box_whose_connections_to_endpoints_are_reset_serves_its_callers() {
    Setup::start().serves_while(|path, cut| {
        path.refuse(cut);
        path.cut(cut);
    });
}

/// Guards against callers that are refused by a box that hears nothing from any endpoint, while
/// other boxes reach the endpoints.
#[test]
fn box_that_hears_nothing_from_endpoints_serves_its_callers() {
    Setup::start().serves_while(Proxy::silence);
}

/// Guards against callers that are refused by a box whose new connections to endpoints are refused
/// while its open ones live on and are in use, although other boxes reach the endpoints.
#[test]
fn box_that_can_open_no_connection_to_endpoints_serves_its_callers() {
    let setup = Setup::start();
    setup.warm_up();
    setup.endpoints.iter().for_each(|endpoint| endpoint.behave(Behaviour::Steady));
    setup.paths.iter().for_each(|path| path.refuse(true));
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    for round in 0.. {
        // More streams at a time than there are open connections.
        let statuses = setup.send_at_once(&format!("round-{round}"), "/fixed/x");
        if statuses == [200; AT_ONCE] {
            break;
        }
        assert!(Instant::now() < deadline, "the cut-off box serves only {statuses:?}");
    }
    assert_eq!(setup.send_at_once("last", "/fixed/x"), [200; AT_ONCE]);
}

/// Guards against boxes that take what a cut-off box sees of its paths for ends of endpoints: they
/// would send nothing to endpoints that are up, and refuse requests that ended none.
#[test]
fn cut_off_box_reports_no_endpoint_as_ended_and_condemns_no_request() {
    let setup = Setup::start();
    setup.warm_up();
    setup.endpoints.iter().for_each(|endpoint| endpoint.behave(Behaviour::Steady));
    std::thread::scope(|scope| {
        let streams = scope.spawn(|| setup.send_at_once("early", "/fixed/x"));
        setup.wait_for_runs("early", AT_ONCE);
        setup.paths.iter().for_each(|path| path.refuse(true));
        setup.paths.iter().for_each(|path| path.cut(true));
        streams.join().expect("the streams end");
    });
    setup.wait_until_served();
    assert_eq!(setup.reported_ends(), Vec::<String>::new());
}

/// Guards against boxes that are cut off together and confirm ends of endpoints to each other before
/// they notice.
#[test]
fn boxes_that_are_cut_off_together_report_no_endpoint_as_ended() {
    let setup = Setup::start();
    setup.endpoints.iter().for_each(|endpoint| endpoint.behave(Behaviour::Steady));
    let prefixes = ["first", "second"];
    std::thread::scope(|scope| {
        let streams: Vec<_> = setup
            .others
            .iter()
            .zip(prefixes)
            .map(|(entry, prefix)| scope.spawn(move || send_at_once(entry, prefix, "/fixed/x")))
            .collect();
        for prefix in prefixes {
            setup.wait_for_runs(prefix, AT_ONCE);
        }
        setup.paths_of_others.iter().for_each(|path| path.refuse(true));
        setup.paths_of_others.iter().for_each(|path| path.cut(true));
        for stream in streams {
            stream.join().expect("the streams end");
        }
    });
    assert_eq!(setup.reported_ends(), Vec::<String>::new());
}

/// Guards against boxes that forward a request to each other while all of them are cut off. Such a
/// request is refused and has not run.
#[test]
fn request_that_no_box_can_serve_is_refused_and_not_run() {
    let setup = Setup::start();
    setup.cut_off();
    setup.paths_of_others.iter().for_each(|path| path.refuse(true));
    setup.paths_of_others.iter().for_each(|path| path.cut(true));
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    let statuses = loop {
        let statuses = KINDS.map(|path| setup.send("lost", path));
        if statuses == [503; KINDS.len()] || Instant::now() > deadline {
            break statuses;
        }
        std::thread::sleep(PAUSE);
    };
    assert_eq!(statuses, [503; KINDS.len()]);
    let id = "refused";
    assert_eq!(KINDS.map(|path| setup.send(id, path)), [503; KINDS.len()]);
    assert_eq!(setup.runs(id), 0);
}

/// Guards against a stream that stays cut short, or runs twice, because the box through which it is
/// forwarded dies: it goes on through another one where it may be resumed, and nowhere else.
#[test]
fn stream_outlives_the_box_through_which_it_is_forwarded_where_it_may_be_resumed() {
    let mut setup = Setup::start();
    setup.cut_off();
    setup.endpoints.iter().for_each(|endpoint| endpoint.behave(Behaviour::Steady));
    let caller = setup.caller();
    let (resumable, fixed) = block_on(async {
        let open = async |path: &str, id: &str| {
            let headers = stream_headers(id);
            let mut stream = caller.open(Method::POST, path, &headers, id.to_owned()).await;
            stream.events(2).await;
            stream
        };
        let resumable = open("/stream/x", "resumable").await;
        let fixed = open("/fixed/x", "fixed").await;
        // One of them runs through each of the two other boxes.
        drop(setup.others.remove(0));
        (resumable.finish().await, fixed.finish().await)
    });
    assert_eq!((resumable.status, resumable.complete), (200, true));
    assert!(events(0).ends_with(&*String::from_utf8_lossy(&resumable.body)), "an event is missing");
    assert_eq!((fixed.status, setup.runs("fixed")), (200, 1));
}

/// Guards against work that goes on at an endpoint after its caller has left the box that forwards
/// the request.
#[test]
fn forwarded_stream_is_cancelled_when_its_caller_leaves() {
    let setup = Setup::start();
    setup.cut_off();
    setup.endpoints.iter().for_each(|endpoint| endpoint.behave(Behaviour::Hang));
    let caller = setup.caller();
    block_on(async {
        let headers = stream_headers("left");
        let mut stream = caller.open(Method::POST, "/fixed/x", &headers, "b".to_owned()).await;
        stream.events(1).await;
    });
    let deadline = Instant::now() + NOTICE_TIMEOUT;
    while setup.endpoints.iter().any(|endpoint| endpoint.running() > 0) {
        assert!(Instant::now() < deadline, "an endpoint still works for a caller that has left");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(setup.runs("left"), 1);
}

/// Guards against a quota that forwarded requests don't use up, or use up twice: as many are served
/// as of an organisation with the same quota whose requests are not forwarded.
#[test]
fn forwarded_requests_use_the_quota_of_their_organisation_once() {
    let setup = Setup::start();
    let mut configuration = configuration(2);
    let tenants = configuration["tenants"].as_array_mut().expect("a list");
    for name in ["direct", "forwarded"] {
        tenants.push(json!({
            "name": name, "api_keys": [format!("key-of-{name}")], "unit": "tokens",
            "plain_tokens": 10, "rate_per_s": 1, "burst": 600
        }));
    }
    setup.control.configure(&configuration);
    for process in setup.others.iter().chain([&setup.entry]) {
        process.wait_for_log(&["event=configured", "version=2"]);
    }
    setup.cut_off();
    let served = |entry: &Process, key: &str| {
        let caller = Caller::new(entry.listen(), key).with_host(HOST);
        let send = async |i: usize| {
            let id = format!("{key}-{i}");
            let headers = [("x-request-id", &*id), ("x-deadline-ms", "600")];
            caller.send_with(Method::POST, "/once/x", &headers, key).await.status == 200
        };
        block_on(async {
            let mut served = 0;
            for i in 0..QUOTA_REQUESTS {
                served += usize::from(send(i).await);
            }
            served
        })
    };
    let direct = served(&setup.others[0], "key-of-direct");
    let forwarded = served(&setup.entry, "key-of-forwarded");
    assert!(direct < QUOTA_REQUESTS, "the quota binds: {direct} served");
    let range = direct * 3 / 4..=direct * 4 / 3;
    assert!(range.contains(&forwarded), "{forwarded} forwarded, {direct} direct");
}

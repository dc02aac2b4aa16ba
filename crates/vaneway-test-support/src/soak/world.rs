//! The deployment of a run: real processes, stand-in endpoints behind proxies, and what was done to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::ControlGroup;
use crate::Process;
use crate::Proxy;
use crate::WireEndpoint;
use crate::control_group::ControlResponse;
use crate::soak::callers::EntryAddresses;
use crate::soak::plan::Action;
use crate::soak::plan::CONTROL_BOXES;
use crate::soak::plan::ENDPOINTS;
use crate::soak::plan::ENTRY_BOXES;
use crate::wire_endpoint::Behaviour;

/// Host of all routes.
pub const HOST: &str = "maps.example";

/// Key of the only organisation.
pub const KEY: &str = "key-of-ada";

/// Time between two heartbeats of an endpoint.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(250);

/// How long the deployment may take to serve again once all faults are over; far beyond what it needs.
const SERVES_WITHIN: Duration = Duration::from_secs(40);

/// Longest silence between events that callers bear.
const PAUSE_MS: u64 = 400;

/// An endpoint with the proxy before it.
#[derive(Debug)]
struct Endpoint {
    name: String,
    standin: WireEndpoint,
    proxy: Proxy,
    /// When a control box acknowledged that it leaves; it says so until then and after.
    leaving: Option<Instant>,
    wants_to_leave: bool,
    sequence: u64,
    /// Requests a second that it names as its limit, and since when.
    limit: Option<(f64, Instant)>,
    /// When what passes to and from it was held up, or let go again.
    held_up: Vec<Instant>,
}

/// A refusal with which an endpoint asked for rest.
#[derive(Debug)]
pub struct BackOff {
    /// The endpoint's name.
    pub name: String,
    /// When it refused.
    pub from: Instant,
    /// The rest that it asked for.
    pub rest: Duration,
    /// Id of the request that it refused.
    pub id: String,
    /// When requests came in that time, and the id of each.
    pub arrivals: Vec<(Instant, String)>,
}

/// What an endpoint with a limit got.
#[derive(Debug)]
pub struct LimitedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// Requests a second that it named.
    pub rate: f64,
    /// Since when.
    pub since: Instant,
    /// When requests came, and the id of each.
    pub arrivals: Vec<(Instant, String)>,
}

type Endpoints = Arc<Mutex<Vec<Endpoint>>>;

/// Something done to an entry box, at a time.
#[derive(Debug, Clone, Copy)]
struct Event {
    entry: usize,
    at: Instant,
}

/// A deployment under faults.
#[derive(Debug)]
pub struct World {
    control: ControlGroup,
    entries: Vec<Option<Process>>,
    addresses: EntryAddresses,
    endpoints: Endpoints,
    /// Positions of the endpoints that serve, by the plan's numbers.
    serving: Vec<usize>,
    heartbeats: Option<(Arc<AtomicBool>, JoinHandle<()>)>,
    kills: Vec<Event>,
    stops: Vec<Event>,
    starts: Vec<Event>,
    /// Pauses of scheduling, where each began and ended.
    pauses: Vec<Event>,
    /// Entry boxes that were told to stop and have not started again.
    stopping: [bool; ENTRY_BOXES],
    sent_version: u64,
    /// All configurations that were sent, by version.
    sent: BTreeMap<u64, Value>,
    /// Routes beside the usual ones.
    more_routes: usize,
    acknowledged: u64,
    logs: Vec<(String, String)>,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// The route that only this version has.
fn prefix_of(version: u64) -> String {
    format!("/version-{version}/")
}

/// A version with `more` routes that nobody asks for beside the usual ones, and one of its own.
fn configuration(version: u64, more: usize) -> Value {
    let route = |prefix: &str, kind: &str, resumable: bool| {
        json!({
            "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 1_000, "priority": 1, "service": "maps",
            "max_attempts": 2, "public": false, "sticky_sessions": true, "resumable": resumable,
            "gap_target_ms": PAUSE_MS
        })
    };
    let usual = [
        route("/safe/", "safe", false),
        route("/once/", "unsafe", false),
        route("/stream/", "streaming", true),
        route("/fixed/", "streaming", false),
        route(&prefix_of(version), "safe", false),
    ];
    let more = (0..more).map(|i| route(&format!("/another-service-of-many/{i}/"), "safe", false));
    let routes: Vec<Value> = usual.into_iter().chain(more).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "maps", "health_path": "/health", "max_conns": 100 }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000
        },
        "tenants": [{ "name": "ada", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 10 }]
    })
}

impl World {
    /// Starts it and waits until it serves.
    ///
    /// # Panics
    ///
    /// If it does not come up.
    pub fn start(program: &Path) -> Self {
        let control = ControlGroup::start_adapted(program, CONTROL_BOXES as u8, Some("platform"));
        let endpoints: Endpoints = Arc::default();
        let controls = (0..CONTROL_BOXES).map(|i| control.address(i)).collect();
        let heartbeats = beat(Arc::clone(&endpoints), controls);
        let mut world = Self {
            control,
            entries: (0..ENTRY_BOXES).map(|_| None).collect(),
            addresses: Arc::new(Mutex::new(vec![None; ENTRY_BOXES])),
            endpoints,
            serving: Vec::new(),
            heartbeats: Some(heartbeats),
            kills: Vec::new(),
            stops: Vec::new(),
            starts: Vec::new(),
            pauses: Vec::new(),
            stopping: [false; ENTRY_BOXES],
            sent_version: 0,
            sent: BTreeMap::new(),
            more_routes: 0,
            acknowledged: 0,
            logs: Vec::new(),
        };
        for _ in 0..ENDPOINTS {
            let endpoint = world.add_endpoint();
            world.serving.push(endpoint);
        }
        world.configure();
        for entry in 0..ENTRY_BOXES {
            world.start_entry(entry);
        }
        world.wait_until_served();
        world
    }

    /// Where entry boxes take requests.
    pub fn entry_addresses(&self) -> &EntryAddresses {
        &self.addresses
    }

    fn add_endpoint(&self) -> usize {
        let mut endpoints = lock(&self.endpoints);
        let name = format!("i-{}", endpoints.len());
        let standin = WireEndpoint::spawn(&name);
        standin.behave(Behaviour::Steady);
        let proxy = Proxy::tcp(standin.address());
        endpoints.push(Endpoint {
            name,
            standin,
            proxy,
            leaving: None,
            wants_to_leave: false,
            sequence: 0,
            limit: None,
            held_up: Vec::new(),
        });
        endpoints.len() - 1
    }

    /// Carries a step of the plan out; what can't be done now, such as the death of a dead box, is passed
    /// over.
    pub fn apply(&mut self, action: &Action) {
        match *action {
            Action::KillEntry(entry) => self.end_entry(entry),
            Action::StartEntry(entry) => self.start_entry(entry),
            Action::StopEntry(entry) => {
                if let Some(process) = &self.entries[entry] {
                    self.stops.push(Event { entry, at: Instant::now() });
                    self.stopping[entry] = true;
                    process.signal("TERM");
                }
            }
            Action::PauseEntry(entry, paused) => {
                if let Some(process) = &self.entries[entry] {
                    self.pauses.push(Event { entry, at: Instant::now() });
                    process.signal(if paused { "STOP" } else { "CONT" });
                }
            }
            Action::KillControl(i) => {
                if self.control.running().contains(&i) {
                    self.keep_log(format!("control-{i}"), self.control.process(i).log());
                    self.control.kill(i);
                }
            }
            Action::StartControl(i) => {
                if !self.control.running().contains(&i) {
                    self.control.start_box(i, false);
                }
            }
            Action::PauseControl(i, paused) => {
                if self.control.running().contains(&i) {
                    self.control.process(i).signal(if paused { "STOP" } else { "CONT" });
                }
            }
            Action::Behave(i, behaviour) => self.at(i, |e| e.standin.behave(behaviour)),
            Action::Cut(i, cut) => self.hold_up(i, |proxy| proxy.cut(cut)),
            Action::Freeze(i, silent) => self.hold_up(i, |proxy| proxy.freeze(silent)),
            Action::Delay(i, delay) => self.hold_up(i, |proxy| proxy.delay(delay)),
            Action::RequestBackOff(i, rest) => self.at(i, |e| e.standin.request_back_off(rest)),
            Action::Configure => self.configure(),
            Action::AddRoutes(count) => {
                self.more_routes += count;
                self.configure();
            }
            Action::AdvertiseLimit(i, limit) => self.at(i, |e| {
                e.standin.advertise_limit(Some(limit));
                e.limit = limit.parse().ok().map(|rate| (rate, Instant::now()));
            }),
            Action::Drain(i) => {
                self.at(i, |e| e.wants_to_leave = true);
                self.serving[i] = self.add_endpoint();
            }
        }
    }

    fn at(&self, i: usize, change: impl FnOnce(&mut Endpoint)) {
        change(&mut lock(&self.endpoints)[self.serving[i]]);
    }

    fn hold_up(&self, i: usize, change: impl FnOnce(&Proxy)) {
        self.at(i, |endpoint| {
            change(&endpoint.proxy);
            endpoint.held_up.push(Instant::now());
        });
    }

    fn start_entry(&mut self, entry: usize) {
        if let Some(process) = self.entries[entry].take() {
            if !std::mem::take(&mut self.stopping[entry]) {
                self.entries[entry] = Some(process);
                return;
            }
            // It was told to stop and ends by itself, unless its scheduling is stopped.
            process.signal("CONT");
            lock(&self.addresses)[entry] = None;
            let log = process.wait_with_log();
            self.keep_log(format!("entry-{entry}"), log);
        }
        let process = self.control.start_entry(&format!("entry-{entry}"));
        self.starts.push(Event { entry, at: Instant::now() });
        lock(&self.addresses)[entry] = Some(process.listen());
        self.entries[entry] = Some(process);
    }

    fn end_entry(&mut self, entry: usize) {
        if let Some(process) = self.entries[entry].take() {
            self.kills.push(Event { entry, at: Instant::now() });
            self.stopping[entry] = false;
            lock(&self.addresses)[entry] = None;
            self.keep_log(format!("entry-{entry}"), process.log());
            process.kill();
        }
    }

    fn keep_log(&mut self, name: String, log: String) {
        self.logs.push((name, log));
    }

    /// Sends the next configuration to the control boxes in turn, once each, as operators do.
    fn configure(&mut self) {
        self.sent_version += 1;
        let version = self.sent_version;
        let configuration = configuration(version, self.more_routes);
        let body = configuration.to_string();
        self.sent.insert(version, configuration);
        let end =
            Instant::now() + if self.acknowledged == 0 { SERVES_WITHIN } else { Duration::ZERO };
        loop {
            let taken = self.control.running().into_iter().any(|i| {
                let answer = self.control.call(i, "POST", "/config/replace", &body);
                answer.is_some_and(|answer| answer.status == 200)
            });
            if taken {
                self.acknowledged = version;
            }
            if taken || Instant::now() >= end {
                return;
            }
        }
    }

    /// Ends all faults and waits until every entry box serves.
    ///
    /// # Panics
    ///
    /// If one does not serve in time.
    pub fn heal(&mut self) {
        for i in 0..CONTROL_BOXES {
            self.apply(&Action::PauseControl(i, false));
            self.apply(&Action::StartControl(i));
        }
        for i in 0..ENDPOINTS {
            self.apply(&Action::Cut(i, false));
            self.apply(&Action::Freeze(i, false));
            self.apply(&Action::Delay(i, Duration::ZERO));
            self.apply(&Action::Behave(i, Behaviour::Steady));
        }
        for entry in 0..ENTRY_BOXES {
            self.apply(&Action::PauseEntry(entry, false));
            self.apply(&Action::StartEntry(entry));
        }
        self.wait_until_served();
    }

    fn wait_until_served(&self) {
        self.wait_until_all_answer("/safe/", 200);
    }

    /// Waits until every entry box goes by the configuration that is surely the newest, and by no older one.
    ///
    /// # Panics
    ///
    /// If one does not in time.
    pub fn wait_until_configured(&self) {
        let version = self.current_version();
        self.wait_until_all_answer(&prefix_of(version), 200);
        self.wait_until_all_answer(&prefix_of(version - 1), 404);
    }

    fn wait_until_all_answer(&self, prefix: &str, status: u16) {
        let end = Instant::now() + SERVES_WITHIN;
        let addresses: Vec<_> = lock(&self.addresses).iter().copied().flatten().collect();
        for address in addresses {
            while status_at(address, prefix) != Some(status) {
                if Instant::now() >= end {
                    for (name, log) in self.logs() {
                        println!("{name}:\n{log}");
                    }
                    panic!("entry box at {address} does not answer {prefix} with {status}");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// How often the request with this id ran at any endpoint.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.endpoints).iter().map(|e| e.standin.runs(id)).sum()
    }

    /// Whether an entry box took requests at `from` and was not killed before `until`. One that was told to
    /// stop may refuse connections.
    pub fn was_up(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let last = |events: &[Event], before: Instant| {
            let of_entry = events.iter().filter(|event| event.entry == entry && event.at <= before);
            of_entry.map(|event| event.at).max()
        };
        let started = last(&self.starts, from);
        last(&self.stops, from) < started && last(&self.kills, until) < started
    }

    /// Whether an entry box was started, told to stop, or paused within `within` before `at`. Those that were killed
    /// send nothing.
    pub fn was_disturbed(&self, entry: usize, at: Instant, within: Duration) -> bool {
        let events = self.starts.iter().chain(&self.stops).chain(&self.pauses);
        let mut of_entry = events.filter(|event| event.entry == entry && event.at <= at);
        of_entry.any(|event| at < event.at + within)
    }

    /// What endpoints that named limits got.
    pub fn limited(&self) -> Vec<LimitedEndpoint> {
        let endpoints = lock(&self.endpoints);
        let limited = endpoints.iter().filter_map(|endpoint| {
            let (rate, since) = endpoint.limit?;
            let seen = endpoint.standin.received();
            let id = |headers: &BTreeMap<String, String>| headers.get("x-request-id").cloned();
            let arrivals = seen.iter().filter_map(|seen| Some((seen.at, id(&seen.headers)?)));
            let name = endpoint.name.clone();
            Some(LimitedEndpoint { name, rate, since, arrivals: arrivals.collect() })
        });
        limited.collect()
    }

    /// Refusals that asked for rest, of endpoints that nothing held up meanwhile or within `before` before it.
    pub fn back_offs(&self, before: Duration) -> Vec<BackOff> {
        let endpoints = lock(&self.endpoints);
        endpoints.iter().flat_map(|endpoint| rests_of(endpoint, before)).collect()
    }

    /// Endpoints that left: name, when that was acknowledged, and when a request last arrived.
    pub fn drained(&self) -> impl Iterator<Item = (String, Instant, Option<Instant>)> {
        let endpoints = lock(&self.endpoints);
        let left = endpoints
            .iter()
            .filter_map(|e| Some((e.name.clone(), e.leaving?, e.standin.last_arrival())));
        left.collect::<Vec<_>>().into_iter()
    }

    /// Version of the configuration that is surely the newest.
    pub fn current_version(&self) -> u64 {
        self.document_read()["version"].as_u64().unwrap_or_default()
    }

    /// Whether the configuration that is surely the newest is what was sent under its version.
    pub fn is_configuration_as_sent(&self) -> bool {
        let document = self.document_read();
        let sent = document["version"].as_u64().and_then(|version| self.sent.get(&version));
        sent == Some(&document)
    }

    fn document_read(&self) -> Value {
        let i = self.control.until("a box tells the configuration", |i| {
            let answer = self.control.call(i, "GET", "/config/read", "");
            answer.is_some_and(|answer| answer.status == 200)
        });
        let answer = self.control.call(i, "GET", "/config/read", "").map(|answer| answer.body);
        answer.and_then(|body| serde_json::from_str(&body).ok()).unwrap_or_default()
    }

    /// The highest version that was acknowledged.
    pub fn acknowledged_version(&self) -> u64 {
        self.acknowledged
    }

    /// What all processes logged so far.
    pub fn logs(&self) -> Vec<(String, String)> {
        let mut logs = self.logs.clone();
        for i in self.control.running() {
            logs.push((format!("control-{i}"), self.control.process(i).log()));
        }
        for (i, process) in self.entries.iter().enumerate() {
            logs.extend(process.as_ref().map(|process| (format!("entry-{i}"), process.log())));
        }
        logs
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if let Some((stop, thread)) = self.heartbeats.take() {
            stop.store(true, Ordering::Relaxed);
            if thread.join().is_err() {
                eprintln!("the heartbeats' thread panicked");
            }
        }
    }
}

fn rests_of(endpoint: &Endpoint, before: Duration) -> Vec<BackOff> {
    let seen = endpoint.standin.received();
    let id = |headers: &BTreeMap<String, String>| headers.get("x-request-id").cloned();
    let rested = seen.iter().filter_map(|refused| {
        let (from, rest) = (refused.at, refused.rest?);
        let over = from + rest;
        if endpoint.held_up.iter().any(|at| from < *at + before && *at < over) {
            return None;
        }
        let within = seen.iter().filter(|seen| from <= seen.at && seen.at < over);
        let arrivals = within.filter_map(|seen| Some((seen.at, id(&seen.headers)?))).collect();
        let (name, id) = (endpoint.name.clone(), id(&refused.headers)?);
        Some(BackOff { name, from, rest, id, arrivals })
    });
    rested.collect()
}

/// The status with which an entry box answers a request that may be repeated, if it answers.
fn status_at(address: SocketAddr, prefix: &str) -> Option<u16> {
    let runtime = compio::runtime::Runtime::new().expect("the loop starts");
    let headers = [("x-request-id", "probe"), ("x-deadline-ms", "1000")];
    let caller = crate::Caller::new(address, KEY).with_host(HOST);
    let path = format!("{prefix}x");
    let answer = caller.try_send_with(hyper::Method::POST, &path, &headers, "probe");
    runtime.block_on(answer).map(|answer| answer.status)
}

/// Sends the endpoints' heartbeats to the control boxes in turn until told to stop.
fn beat(endpoints: Endpoints, controls: Vec<SocketAddr>) -> (Arc<AtomicBool>, JoinHandle<()>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        let mut turn = 0;
        while !stopped.load(Ordering::Relaxed) {
            let count = lock(&endpoints).len();
            for i in 0..count {
                beat_once(&endpoints, i, &controls, &mut turn);
            }
            std::thread::sleep(HEARTBEAT_EVERY);
        }
    });
    (stop, thread)
}

/// Sends one heartbeat to the first control box that takes it.
fn beat_once(endpoints: &Endpoints, i: usize, controls: &[SocketAddr], turn: &mut usize) {
    let (path, body, leaves) = {
        let endpoint = &mut lock(endpoints)[i];
        endpoint.sequence += 1;
        let state = if endpoint.wants_to_leave { "draining" } else { "ready" };
        let address = endpoint.proxy.address();
        let (path, body) =
            endpoint.standin.heartbeat_with_address(address, "maps", state, endpoint.sequence);
        (path, body, endpoint.wants_to_leave)
    };
    for _ in controls {
        *turn = (*turn + 1) % controls.len();
        let answer = ControlResponse::request(controls[*turn], "POST", &path, &body);
        if answer.is_some_and(|answer| answer.status == 200) {
            let endpoint = &mut lock(endpoints)[i];
            if leaves {
                endpoint.leaving.get_or_insert_with(Instant::now);
            }
            return;
        }
    }
}

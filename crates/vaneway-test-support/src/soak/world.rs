//! The deployment of a run: real processes, stand-in endpoints behind proxies, and a record of the
//! faults injected into them.

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
use crate::RawEndpoint;
use crate::WireEndpoint;
use crate::control_group::ControlResponse;
use crate::raw_endpoint::Answer;
use crate::raw_endpoint::End;
use crate::raw_endpoint::Framing;
use crate::raw_endpoint::Script;
use crate::soak::callers::DEADLY_PART;
use crate::soak::callers::EntryAddresses;
use crate::soak::plan::Action;
use crate::soak::plan::CONTROL_BOXES;
use crate::soak::plan::ENDPOINTS;
use crate::soak::plan::ENTRY_BOXES;
use crate::soak::unending::UnendingEndpoints;
use crate::wire_endpoint::Behaviour;
use crate::wire_endpoint::events;

/// Host of all routes of the configuration.
pub const HOST: &str = "maps.example";

/// Key of the only organisation.
pub const KEY: &str = "key-of-ada";

/// Software versions of the endpoints, which serve side by side.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// What ends an event, the last line of its data included.
const END_OF_EVENT: &str = "\n\n";

/// Interval between two heartbeats of an endpoint.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for the deployment to serve at the start and after the faults; far longer than it should
/// take.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(40);

/// Target for the gap between two events of a stream.
const GAP_TARGET_MS: u64 = 400;

/// An endpoint and the proxy in front of it.
#[derive(Debug)]
struct Endpoint {
    name: String,
    standin: WireEndpoint,
    proxy: Proxy,
    /// When a control box first acknowledged a heartbeat that announces that it is leaving.
    leaving_since: Option<Instant>,
    /// Whether its heartbeats announce that it is leaving.
    is_leaving: bool,
    sequence: u64,
    /// The limit that it advertises in requests per second, and since when.
    limit: Option<(f64, Instant)>,
    /// When a fault of its proxy began or ended.
    proxy_changes: Vec<Instant>,
    /// The faults that keep it from serving.
    faults: EndpointFaults,
    /// When it began (true) or ceased to serve.
    service_changes: Vec<(Instant, bool)>,
}

/// The faults that keep an endpoint from serving.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointFaults {
    is_cut: bool,
    is_frozen: bool,
    misbehaves: bool,
}

impl Endpoint {
    /// Records whether it serves from now on: it is registered, isn't leaving and has no fault.
    fn record_service(&mut self) {
        let EndpointFaults { is_cut, is_frozen, misbehaves } = self.faults;
        let serves = !self.is_leaving && !is_cut && !is_frozen && !misbehaves;
        self.service_changes.push((Instant::now(), serves));
    }

    /// Whether it served throughout a period.
    fn served(&self, from: Instant, until: Instant) -> bool {
        let before = self.service_changes.iter().rev().find(|(at, _)| *at <= from);
        let mut within = self.service_changes.iter().filter(|(at, _)| from < *at && *at <= until);
        before.is_some_and(|(_, serves)| *serves) && within.all(|(_, serves)| *serves)
    }
}

/// A refusal that requested a back-off.
#[derive(Debug)]
pub struct BackOff {
    /// The endpoint's name.
    pub name: String,
    /// When the endpoint refused.
    pub from: Instant,
    /// The back-off requested.
    pub duration: Duration,
    /// Id of the refused request.
    pub id: String,
    /// Time and id of each request that arrived during the back-off.
    pub arrivals: Vec<(Instant, String)>,
}

/// The requests received by an endpoint that advertises a limit.
#[derive(Debug)]
pub struct LimitedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// The limit in requests per second.
    pub rate: f64,
    /// Since when it is advertised.
    pub since: Instant,
    /// Time and id of each request received.
    pub arrivals: Vec<(Instant, String)>,
}

/// An endpoint of the service whose streams end with their connection.
#[derive(Debug)]
struct UnframedEndpoint {
    standin: RawEndpoint,
    sequence: u64,
}

/// An endpoint of the service that crashes on a part of prompts.
#[derive(Debug)]
struct MortalEndpoint {
    standin: WireEndpoint,
    sequence: u64,
}

/// The endpoints, which the thread that sends heartbeats reads.
#[derive(Debug, Clone, Default)]
struct Endpoints {
    framed: Arc<Mutex<Vec<Endpoint>>>,
    unframed: Arc<Mutex<Vec<UnframedEndpoint>>>,
    mortal: Arc<Mutex<Vec<MortalEndpoint>>>,
    unending: UnendingEndpoints,
}

/// Time at which an entry box was started, stopped, paused, resumed or killed.
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
    /// Index in `endpoints` of each endpoint of the plan, by its number there.
    serving: Vec<usize>,
    heartbeats: Option<(Arc<AtomicBool>, JoinHandle<()>)>,
    kills: Vec<Event>,
    stops: Vec<Event>,
    starts: Vec<Event>,
    /// When a process was paused or resumed.
    pauses: Vec<Event>,
    /// When a control box was killed, started, paused or resumed.
    control_changes: Vec<Instant>,
    /// Entry boxes that were told to stop and have not been started again.
    stopping: [bool; ENTRY_BOXES],
    sent_version: u64,
    /// All configurations sent, by version.
    sent: BTreeMap<u64, Value>,
    /// Number of routes in addition to the usual ones.
    extra_routes: usize,
    /// The highest configuration version that was acknowledged.
    acknowledged: u64,
    /// Names and logs of processes that have exited.
    logs: Vec<(String, String)>,
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Path prefix of the route that only this version has.
fn prefix_of(version: u64) -> String {
    format!("/version-{version}/")
}

/// A configuration with the usual routes, one of its version, and `extra` routes without requests.
fn configuration(version: u64, extra: usize) -> Value {
    let route = |prefix: &str, kind: &str, resumable: bool| {
        let service = match prefix {
            "/unframed/" => "unframed",
            "/parts/" => "parts",
            _ => "maps",
        };
        json!({
            "name": format!("r{prefix}"), "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 1_000, "priority": 1, "service": service,
            "max_attempts": 2, "public": false, "sticky_sessions": true, "resumable": resumable,
            "gap_target_ms": GAP_TARGET_MS
        })
    };
    let usual = [
        route("/safe/", "safe", false),
        route("/once/", "unsafe", false),
        route("/stream/", "streaming", true),
        route("/fixed/", "streaming", false),
        route("/unframed/", "streaming", false),
        route("/parts/", "streaming", true),
        route(&prefix_of(version), "safe", false),
    ];
    let extra = (0..extra).map(|i| route(&format!("/another-service-of-many/{i}/"), "safe", false));
    let routes: Vec<Value> = usual.into_iter().chain(extra).collect();
    json!({
        "version": version,
        "routes": routes,
        "services": [
            { "name": "maps", "health_path": "/health", "max_conns": 100 },
            { "name": "unframed", "health_path": "/health", "max_conns": 100 },
            { "name": "parts", "health_path": "/health", "max_conns": 100 },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000
        },
        "tenants": [{ "name": "ada", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 10 }]
    })
}

impl World {
    /// Starts the deployment and waits until every entry box serves.
    ///
    /// # Panics
    ///
    /// If it does not serve in time.
    pub fn start(program: &Path) -> Self {
        let control = ControlGroup::start_adapted(program, CONTROL_BOXES as u8, Some("platform"));
        let endpoints = Endpoints::default();
        let controls = (0..CONTROL_BOXES).map(|i| control.address(i)).collect();
        let heartbeats = spawn_heartbeats(endpoints.clone(), controls);
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
            control_changes: Vec::new(),
            stopping: [false; ENTRY_BOXES],
            sent_version: 0,
            sent: BTreeMap::new(),
            extra_routes: 0,
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

    /// Addresses of the entry boxes for callers.
    pub fn entry_addresses(&self) -> &EntryAddresses {
        &self.addresses
    }

    fn add_endpoint(&self) -> usize {
        let mut endpoints = lock(&self.endpoints.framed);
        let name = format!("i-{}", endpoints.len());
        let version = VERSIONS[endpoints.len() % VERSIONS.len()];
        let standin = WireEndpoint::spawn_with_version(&name, version);
        standin.behave(Behaviour::Steady);
        let proxy = Proxy::tcp(standin.address());
        endpoints.push(Endpoint {
            name,
            standin,
            proxy,
            leaving_since: None,
            is_leaving: false,
            sequence: 0,
            limit: None,
            proxy_changes: Vec::new(),
            faults: EndpointFaults::default(),
            service_changes: Vec::new(),
        });
        endpoints.len() - 1
    }

    /// Starts an endpoint that sends `whole` streams completely and crashes in the next one, inside
    /// the event after `last`.
    fn add_unframed_endpoint(&self, whole: usize, last: u32) {
        let complete = events(0);
        let end = complete.len() - events(last + 1).len() - END_OF_EVENT.len();
        let broken_off = Answer::stream(Framing::UntilClose, &complete[..end], End::Crash);
        let complete = Answer::stream(Framing::UntilClose, complete, End::Close);
        let script = Script::new(std::iter::repeat_n(complete, whole).chain([broken_off]));
        let mut endpoints = lock(&self.endpoints.unframed);
        let standin = RawEndpoint::spawn(&format!("u-{}", endpoints.len()), &script);
        endpoints.push(UnframedEndpoint { standin, sequence: 0 });
    }

    /// Executes an action of the plan. One that is not possible now, such as killing a stopped box,
    /// is skipped.
    pub fn apply(&mut self, action: &Action) {
        match *action {
            Action::KillEntry(entry) => self.kill_entry(entry),
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
                    self.control_changes.push(Instant::now());
                }
            }
            Action::StartControl(i) => {
                if !self.control.running().contains(&i) {
                    self.control.start_box(i, false);
                    self.control_changes.push(Instant::now());
                }
            }
            Action::PauseControl(i, paused) => {
                if self.control.running().contains(&i) {
                    self.control.process(i).signal(if paused { "STOP" } else { "CONT" });
                    self.control_changes.push(Instant::now());
                }
            }
            Action::Behave(i, behaviour) => self.update(i, |e| {
                e.standin.behave(behaviour);
                e.faults.misbehaves = behaviour != Behaviour::Steady;
            }),
            Action::Cut(i, cut) => {
                self.change_proxy(i, |proxy| proxy.cut(cut));
                self.update(i, |e| e.faults.is_cut = cut);
            }
            Action::Freeze(i, frozen) => {
                self.change_proxy(i, |proxy| proxy.freeze(frozen));
                self.update(i, |e| e.faults.is_frozen = frozen);
            }
            Action::Delay(i, delay) => self.change_proxy(i, |proxy| proxy.delay(delay)),
            Action::RequestBackOff(i, wait) => self.update(i, |e| e.standin.request_back_off(wait)),
            Action::Configure => self.configure(),
            Action::AddRoutes(count) => {
                self.extra_routes += count;
                self.configure();
            }
            Action::AdvertiseLimit(i, limit) => self.update(i, |e| {
                e.standin.advertise_limit(Some(limit));
                e.limit = limit.parse().ok().map(|rate| (rate, Instant::now()));
            }),
            Action::StartUnframed(whole, last) => self.add_unframed_endpoint(whole, last),
            Action::StartUnending(kind, is_slow) => self.endpoints.unending.start(kind, is_slow),
            Action::StartMortal => {
                let mut endpoints = lock(&self.endpoints.mortal);
                let standin = WireEndpoint::spawn(&format!("m-{}", endpoints.len()));
                standin.crash_on_part(DEADLY_PART);
                endpoints.push(MortalEndpoint { standin, sequence: 0 });
            }
            Action::AddEndpoint => {
                self.add_endpoint();
            }
            Action::Drain(i) => {
                self.update(i, |e| e.is_leaving = true);
                self.serving[i] = self.add_endpoint();
            }
        }
    }

    fn update(&self, i: usize, change: impl FnOnce(&mut Endpoint)) {
        let endpoint = &mut lock(&self.endpoints.framed)[self.serving[i]];
        change(endpoint);
        if !endpoint.service_changes.is_empty() {
            endpoint.record_service();
        }
    }

    fn change_proxy(&self, i: usize, change: impl FnOnce(&Proxy)) {
        self.update(i, |endpoint| {
            change(&endpoint.proxy);
            endpoint.proxy_changes.push(Instant::now());
        });
    }

    fn start_entry(&mut self, entry: usize) {
        if let Some(process) = self.entries[entry].take() {
            if !std::mem::take(&mut self.stopping[entry]) {
                self.entries[entry] = Some(process);
                return;
            }
            // The process was told to stop and exits by itself, unless it is paused.
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

    fn kill_entry(&mut self, entry: usize) {
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

    /// Sends the next configuration to the control boxes in turn until one accepts it: once to
    /// each, but the first configuration until the timeout. A configuration that none accepts is
    /// not sent again.
    fn configure(&mut self) {
        self.sent_version += 1;
        let version = self.sent_version;
        let configuration = configuration(version, self.extra_routes);
        let body = configuration.to_string();
        self.sent.insert(version, configuration);
        let deadline =
            Instant::now() + if self.acknowledged == 0 { SERVICE_TIMEOUT } else { Duration::ZERO };
        loop {
            let accepted = self.control.running().into_iter().any(|i| {
                let response = self.control.call(i, "POST", "/config/replace", &body);
                response.is_some_and(|response| response.status == 200)
            });
            if accepted {
                self.acknowledged = version;
            }
            if accepted || Instant::now() >= deadline {
                return;
            }
        }
    }

    /// Ends all faults and waits until every entry box serves.
    ///
    /// # Panics
    ///
    /// If an entry box does not serve in time.
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
        self.wait_until_all_respond("/safe/", 200);
    }

    /// Waits until every entry box routes by the newest committed configuration, and no longer by
    /// the one before.
    ///
    /// # Panics
    ///
    /// If an entry box does not in time.
    pub fn wait_until_configured(&self) {
        let version = self.current_version();
        self.wait_until_all_respond(&prefix_of(version), 200);
        self.wait_until_all_respond(&prefix_of(version - 1), 404);
    }

    fn wait_until_all_respond(&self, prefix: &str, status: u16) {
        let deadline = Instant::now() + SERVICE_TIMEOUT;
        let addresses: Vec<_> = lock(&self.addresses).iter().copied().flatten().collect();
        for address in addresses {
            while status_at(address, prefix) != Some(status) {
                if Instant::now() >= deadline {
                    for (name, log) in self.logs() {
                        println!("{name}:\n{log}");
                    }
                    panic!(
                        "entry box at {address} did not respond to {prefix} with {status} \
                         within {SERVICE_TIMEOUT:?}"
                    );
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Number of runs of the request with this id at all endpoints together.
    pub fn runs(&self, id: &str) -> u32 {
        let framed: u32 =
            lock(&self.endpoints.framed).iter().map(|endpoint| endpoint.standin.runs(id)).sum();
        let received = |endpoint: &UnframedEndpoint| {
            endpoint.standin.received().iter().filter(|request| request.id == id).count() as u32
        };
        let unframed = lock(&self.endpoints.unframed).iter().map(received).sum::<u32>();
        let mortal = lock(&self.endpoints.mortal);
        let unframed = unframed + self.endpoints.unending.runs(id);
        framed + unframed + mortal.iter().map(|endpoint| endpoint.standin.runs(id)).sum::<u32>()
    }

    /// The endpoints whose bytes never end.
    pub fn unending(&self) -> &UnendingEndpoints {
        &self.endpoints.unending
    }

    /// The requests that each endpoint which crashes on a part received, by time and id.
    pub fn received_by_mortal(&self) -> Vec<Vec<(Instant, String)>> {
        let endpoints = lock(&self.endpoints.mortal);
        let received = |endpoint: &MortalEndpoint| {
            let received = endpoint.standin.received().into_iter();
            let with_id = received.map(|mut request| {
                let id = request.headers.remove("x-request-id").unwrap_or_default();
                (request.at, id)
            });
            with_id.collect()
        };
        endpoints.iter().map(received).collect()
    }

    /// Number of these endpoints that have not crashed.
    pub fn mortal_left(&self) -> usize {
        let endpoints = lock(&self.endpoints.mortal);
        endpoints.iter().filter(|endpoint| !endpoint.standin.has_crashed()).count()
    }

    /// Number of these endpoints that have crashed.
    pub fn crashed_on_part(&self) -> usize {
        let endpoints = lock(&self.endpoints.mortal);
        endpoints.iter().filter(|endpoint| endpoint.standin.has_crashed()).count()
    }

    /// Whether an entry box was running at `from` without having been told to stop, and was not
    /// killed before `until`. One that was told to stop may refuse connections.
    pub fn was_up(&self, entry: usize, from: Instant, until: Instant) -> bool {
        let last = |events: &[Event], before: Instant| {
            let of_entry = events.iter().filter(|event| event.entry == entry && event.at <= before);
            of_entry.map(|event| event.at).max()
        };
        let started = last(&self.starts, from);
        last(&self.stops, from) < started && last(&self.kills, until) < started
    }

    /// Whether an entry box was started, told to stop, paused or resumed within `period` before
    /// `at`. Kills do not count, since a killed box sends nothing.
    pub fn was_disturbed(&self, entry: usize, at: Instant, period: Duration) -> bool {
        let events = self.starts.iter().chain(&self.stops).chain(&self.pauses);
        let mut of_entry = events.filter(|event| event.entry == entry && event.at <= at);
        of_entry.any(|event| at < event.at + period)
    }

    /// Whether nothing was done to an entry box or a control box from `contact` before `from` until
    /// `until`.
    pub fn was_in_touch(
        &self,
        entry: usize,
        from: Instant,
        until: Instant,
        contact: Duration,
    ) -> bool {
        let events = self.starts.iter().chain(&self.stops).chain(&self.pauses).chain(&self.kills);
        let of_entry = events.filter(|event| event.entry == entry).map(|event| event.at);
        let mut changes = of_entry.chain(self.control_changes.iter().copied());
        !changes.any(|at| at + contact > from && at <= until)
    }

    /// Number of endpoints of a software version that served throughout a period: registered, not
    /// leaving, reached, and without a fault that the plan gave them.
    pub fn serving(&self, version: &str, from: Instant, until: Instant) -> usize {
        let endpoints = lock(&self.endpoints.framed);
        let of_version = endpoints.iter().enumerate();
        let of_version = of_version.filter(|(i, _)| VERSIONS[i % VERSIONS.len()] == version);
        of_version.filter(|(_, endpoint)| endpoint.served(from, until)).count()
    }

    /// The endpoints that advertise limits, with the requests that they received.
    pub fn limited(&self) -> Vec<LimitedEndpoint> {
        let endpoints = lock(&self.endpoints.framed);
        let limited = endpoints.iter().filter_map(|endpoint| {
            let (rate, since) = endpoint.limit?;
            let received = endpoint.standin.received();
            let id = |headers: &BTreeMap<String, String>| headers.get("x-request-id").cloned();
            let arrivals =
                received.iter().filter_map(|received| Some((received.at, id(&received.headers)?)));
            let name = endpoint.name.clone();
            Some(LimitedEndpoint { name, rate, since, arrivals: arrivals.collect() })
        });
        limited.collect()
    }

    /// Refusals that requested a back-off, except where a fault of the endpoint's proxy began or
    /// ended during the back-off or within `before` before the refusal.
    pub fn back_offs(&self, before: Duration) -> Vec<BackOff> {
        let endpoints = lock(&self.endpoints.framed);
        endpoints.iter().flat_map(|endpoint| back_offs_of(endpoint, before)).collect()
    }

    /// Leaving endpoints: name, when the announcement was acknowledged, and when the last request
    /// arrived.
    pub fn drained(&self) -> impl Iterator<Item = (String, Instant, Option<Instant>)> {
        let endpoints = lock(&self.endpoints.framed);
        let left = endpoints
            .iter()
            .filter_map(|e| Some((e.name.clone(), e.leaving_since?, e.standin.last_arrival())));
        left.collect::<Vec<_>>().into_iter()
    }

    /// Version of the newest committed configuration, by a linearizable read.
    pub fn current_version(&self) -> u64 {
        self.current_document()["version"].as_u64().unwrap_or_default()
    }

    /// Whether the newest committed configuration equals the one sent with its version.
    pub fn is_configuration_as_sent(&self) -> bool {
        let document = self.current_document();
        let sent = document["version"].as_u64().and_then(|version| self.sent.get(&version));
        sent == Some(&document)
    }

    fn current_document(&self) -> Value {
        let i = self.control.until("a box returns the configuration", |i| {
            let response = self.control.call(i, "GET", "/config/read", "");
            response.is_some_and(|response| response.status == 200)
        });
        let response =
            self.control.call(i, "GET", "/config/read", "").map(|response| response.body);
        response.and_then(|body| serde_json::from_str(&body).ok()).unwrap_or_default()
    }

    /// The highest configuration version that was acknowledged.
    pub fn acknowledged_version(&self) -> u64 {
        self.acknowledged
    }

    /// Name and log of each process so far, exited ones included.
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

fn back_offs_of(endpoint: &Endpoint, before: Duration) -> Vec<BackOff> {
    let received = endpoint.standin.received();
    let id = |headers: &BTreeMap<String, String>| headers.get("x-request-id").cloned();
    let back_offs = received.iter().filter_map(|refused| {
        let (from, duration) = (refused.at, refused.back_off?);
        let until = from + duration;
        if endpoint.proxy_changes.iter().any(|at| from < *at + before && *at < until) {
            return None;
        }
        let within = received.iter().filter(|received| from <= received.at && received.at < until);
        let arrivals =
            within.filter_map(|received| Some((received.at, id(&received.headers)?))).collect();
        let (name, id) = (endpoint.name.clone(), id(&refused.headers)?);
        Some(BackOff { name, from, duration, id, arrivals })
    });
    back_offs.collect()
}

/// The status of an entry box's response to a request under `prefix`; none without a response.
fn status_at(address: SocketAddr, prefix: &str) -> Option<u16> {
    let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
    let headers = [("x-request-id", "probe"), ("x-deadline-ms", "1000")];
    let caller = crate::Caller::new(address, KEY).with_host(HOST);
    let path = format!("{prefix}x");
    let response = caller.try_send_with(hyper::Method::POST, &path, &headers, "probe");
    runtime.block_on(response).map(|response| response.status)
}

/// Starts a thread that sends the endpoints' heartbeats to the control boxes in turn, until the
/// returned flag is set.
fn spawn_heartbeats(
    endpoints: Endpoints,
    controls: Vec<SocketAddr>,
) -> (Arc<AtomicBool>, JoinHandle<()>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = Arc::clone(&stop);
    let thread = std::thread::spawn(move || {
        let mut next_control = 0;
        while !stopped.load(Ordering::Relaxed) {
            let count = lock(&endpoints.framed).len();
            for i in 0..count {
                send_heartbeat(&endpoints.framed, i, &controls, &mut next_control);
            }
            for (path, body) in unframed_heartbeats(&endpoints.unframed) {
                is_accepted_by_any(&path, &body, &controls, &mut next_control);
            }
            for (path, body) in endpoints.unending.heartbeats() {
                is_accepted_by_any(&path, &body, &controls, &mut next_control);
            }
            for (path, body) in mortal_heartbeats(&endpoints.mortal) {
                is_accepted_by_any(&path, &body, &controls, &mut next_control);
            }
            std::thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
    (stop, thread)
}

/// Sends one heartbeat to the control boxes in turn until one accepts it.
fn send_heartbeat(
    endpoints: &Mutex<Vec<Endpoint>>,
    i: usize,
    controls: &[SocketAddr],
    next_control: &mut usize,
) {
    let (path, body, is_leaving) = {
        let endpoint = &mut lock(endpoints)[i];
        endpoint.sequence += 1;
        let state = if endpoint.is_leaving { "draining" } else { "ready" };
        let address = endpoint.proxy.address();
        let (path, body) =
            endpoint.standin.heartbeat_with_address(address, "maps", state, endpoint.sequence);
        (path, body, endpoint.is_leaving)
    };
    if !is_accepted_by_any(&path, &body, controls, next_control) {
        return;
    }
    let endpoint = &mut lock(endpoints)[i];
    if endpoint.service_changes.is_empty() {
        endpoint.record_service();
    }
    if is_leaving {
        endpoint.leaving_since.get_or_insert_with(Instant::now);
    }
}

/// The next heartbeats of the endpoints without framed responses that have not crashed.
fn unframed_heartbeats(endpoints: &Mutex<Vec<UnframedEndpoint>>) -> Vec<(String, String)> {
    let mut endpoints = lock(endpoints);
    let running = endpoints.iter_mut().filter(|endpoint| !endpoint.standin.has_crashed());
    let heartbeats = running.map(|endpoint| {
        endpoint.sequence += 1;
        endpoint.standin.heartbeat("unframed", "ready", endpoint.sequence)
    });
    heartbeats.collect()
}

/// The next heartbeats of the endpoints that crash on a part and have not crashed.
fn mortal_heartbeats(endpoints: &Mutex<Vec<MortalEndpoint>>) -> Vec<(String, String)> {
    let mut endpoints = lock(endpoints);
    let running = endpoints.iter_mut().filter(|endpoint| !endpoint.standin.has_crashed());
    let heartbeats = running.map(|endpoint| {
        endpoint.sequence += 1;
        endpoint.standin.heartbeat("parts", "ready", endpoint.sequence)
    });
    heartbeats.collect()
}

/// Sends a call to the control boxes in turn until one accepts it; returns whether one has.
fn is_accepted_by_any(
    path: &str,
    body: &str,
    controls: &[SocketAddr],
    next_control: &mut usize,
) -> bool {
    controls.iter().any(|_| {
        *next_control = (*next_control + 1) % controls.len();
        let response = ControlResponse::request(controls[*next_control], "POST", path, body);
        response.is_some_and(|response| response.status == 200)
    })
}

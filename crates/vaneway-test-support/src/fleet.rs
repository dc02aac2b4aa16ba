//! A large fleet of entry boxes in one thread: the product's own, with requests that are made up.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use serde_json::json;
use vaneway_server::core::entry::Entry;
use vaneway_server::core::running;
use vaneway_server::core::running::RunningEntry;
use vaneway_server::core::settings::read;

use crate::ControlGroup;
use crate::control_group::empty_configuration;

/// Organisations for which requests come: as many as the largest fleet has.
const ORGANISATIONS: usize = 40;

/// Endpoints of that fleet.
const ENDPOINTS: u16 = 165;

/// How long a fleet may take for anything that it waits for; far beyond what it needs.
const WITHIN: Duration = Duration::from_mins(1);

/// Time between two looks at the fleet.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time between two requests of one entry box.
const REQUEST_EVERY: Duration = Duration::from_millis(300);

/// How long a request is at its endpoint.
const REQUEST_TAKES: Duration = Duration::from_millis(150);

/// A fleet that runs until it is dropped.
#[derive(Debug)]
pub struct Fleet {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The oldest version of the configuration that is in force at any entry box.
    version: AtomicU64,
    /// Requests that were made up.
    requests: AtomicU64,
    ended: AtomicBool,
}

impl Fleet {
    /// Starts entry boxes that follow the control boxes of a group.
    ///
    /// # Panics
    ///
    /// In the fleet's thread, if a box can't be started.
    pub fn start(group: &ControlGroup, entries: usize) -> Self {
        let settings =
            (0..entries).map(|i| group.entry_settings(&format!("entry-{i}")).to_string());
        let settings: Vec<String> = settings.collect();
        let shared = Arc::new(Shared::default());
        let theirs = Arc::clone(&shared);
        let run = move || {
            let runtime = compio::runtime::Runtime::new().expect("the loop starts");
            runtime.block_on(run(&settings, &theirs));
        };
        Self { shared, thread: Some(std::thread::spawn(run)) }
    }

    /// Waits until each entry box has a version of the configuration in force, or a later one.
    ///
    /// # Panics
    ///
    /// If that does not come about in time.
    pub fn wait_for_version(&self, version: u64) {
        wait_for(&self.shared.version, version, "version of the configuration in force everywhere");
    }

    /// Waits until so many requests were made since the start.
    ///
    /// # Panics
    ///
    /// If that does not come about in time.
    pub fn wait_for_requests(&self, requests: u64) {
        wait_for(&self.shared.requests, requests, "requests");
    }
}

fn wait_for(count: &AtomicU64, least: u64, what: &str) {
    let end = Instant::now() + WITHIN;
    while count.load(Ordering::Relaxed) < least {
        assert!(Instant::now() < end, "{what}: waited in vain for {least}, now {count:?}");
        std::thread::sleep(LOOK_EVERY);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || std::thread::panicking(), "the fleet's thread panicked");
        }
    }
}

async fn run(settings: &[String], shared: &Arc<Shared>) {
    let mut boxes: Vec<RunningEntry> = Vec::new();
    for text in settings {
        let settings = read(text).expect("the settings are valid");
        boxes.push(running::spawn(settings).await.expect("the entry box starts"));
    }
    let rng = Rc::new(RefCell::new(Pcg64Mcg::seed_from_u64(1)));
    for running in &boxes {
        let requests =
            make_requests(Rc::clone(running.entry()), Rc::clone(&rng), Arc::clone(shared));
        compio::runtime::spawn(requests).detach();
    }
    while !shared.ended.load(Ordering::Relaxed) {
        let versions = boxes.iter().map(|running| running.entry().version());
        shared.version.store(versions.min().unwrap_or_default(), Ordering::Relaxed);
        compio::time::sleep(LOOK_EVERY).await;
    }
}

/// Charges quotas and occupies endpoints as requests would.
async fn make_requests(entry: Rc<Entry>, rng: Rc<RefCell<Pcg64Mcg>>, shared: Arc<Shared>) {
    loop {
        let pause = rng.borrow_mut().random_range(Duration::ZERO..2 * REQUEST_EVERY);
        entry.timers.sleep(pause).await;
        shared.requests.fetch_add(1, Ordering::Relaxed);
        let organisation =
            format!("organisation-{}", rng.borrow_mut().random_range(0..ORGANISATIONS));
        let draw: u64 = rng.borrow_mut().random();
        let charged =
            entry.quotas.charge(entry.cluster_time(), &draw.to_string(), &organisation, 1);
        let endpoints: Vec<_> = entry.registered.borrow().values().copied().collect();
        if charged.is_err() || endpoints.is_empty() {
            continue;
        }
        entry.count_started(&organisation);
        let endpoint = endpoints[(draw % endpoints.len() as u64) as usize];
        let occupied = entry.begin_attempt(endpoint, 100, None);
        entry.timers.sleep(REQUEST_TAKES).await;
        drop(occupied);
    }
}

/// A configuration with the fleet's organisations, each with a limit that it never reaches.
pub fn configuration(version: u64) -> Value {
    let mut configuration = empty_configuration(version);
    let organisation = |i: usize| {
        json!({
            "name": format!("organisation-{i}"), "keys": [format!("key-{i}")], "priority": null,
            "unit": "Requests", "rate": 1_000.0, "burst": 1_000.0,
        })
    };
    configuration["organisations"] = (0..ORGANISATIONS).map(organisation).collect();
    configuration["services"] = json!([
        { "name": "engine", "health_path": "", "max_connections": 1, "engine": null, "capacity": null }
    ]);
    configuration
}

/// Registers the fleet's endpoints.
///
/// # Panics
///
/// If no control box takes them in time.
pub fn register_endpoints(group: &ControlGroup) {
    for i in 0..ENDPOINTS {
        let report = json!({
            "instance": format!("endpoint-{i}"), "sequence": 1, "standing": "Ready",
            "ends_in_ms": null, "age_ms": 0,
            "details": {
                "service": "engine", "address": format!("127.0.0.1:{}", 10_000 + i),
                "availability_zone": "a", "slots": 48, "reclaimable": true,
            },
        });
        group.until("a box takes a registration", |b| {
            let answer = group.call(b, "POST", "/v1/endpoints", &report.to_string());
            answer.is_some_and(|answer| answer.status == 200)
        });
    }
}

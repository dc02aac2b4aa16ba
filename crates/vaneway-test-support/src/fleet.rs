//! A large fleet of entry boxes in one thread: the product's code with simulated requests.

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

/// Organisations that send requests: as many as in the largest fleet.
const ORGANISATIONS: usize = 40;

/// Endpoints of the largest fleet.
const ENDPOINTS: u16 = 165;

/// Timeout of every wait for the fleet; far longer than any should take.
const FLEET_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval at which the fleet's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Mean time between two requests of one entry box.
const MEAN_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// How long a request occupies its endpoint.
const REQUEST_DURATION: Duration = Duration::from_millis(150);

/// A fleet that runs until it is dropped.
#[derive(Debug)]
pub struct Fleet {
    shared: Arc<Shared>,
    thread: Option<std::thread::JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    /// The lowest configuration version in force at any entry box.
    version: AtomicU64,
    /// Requests simulated so far.
    requests: AtomicU64,
    stop: AtomicBool,
}

impl Fleet {
    /// Starts `entries` entry boxes that connect to the control boxes of a group.
    ///
    /// # Panics
    ///
    /// In the fleet's thread, if an entry box can't be started.
    pub fn start(group: &ControlGroup, entries: usize) -> Self {
        let settings =
            (0..entries).map(|i| group.entry_settings(&format!("entry-{i}")).to_string());
        let settings: Vec<String> = settings.collect();
        let shared = Arc::new(Shared::default());
        let for_thread = Arc::clone(&shared);
        let run = move || {
            let runtime = compio::runtime::Runtime::new().expect("the event loop starts");
            runtime.block_on(run(&settings, &for_thread));
        };
        Self { shared, thread: Some(std::thread::spawn(run)) }
    }

    /// Waits until each entry box has `version` of the configuration or a later one in force.
    ///
    /// # Panics
    ///
    /// If that takes longer than the timeout.
    pub fn wait_for_version(&self, version: u64) {
        wait_for(&self.shared.version, version, "version of the configuration in force everywhere");
    }

    /// Waits until `requests` requests have been simulated since the start, however slowly.
    ///
    /// # Panics
    ///
    /// If none is simulated for as long as the timeout.
    pub fn wait_for_requests(&self, requests: u64) {
        let mut simulated = 0;
        while simulated < requests {
            simulated += 1;
            wait_for(&self.shared.requests, simulated, "requests");
            simulated = self.shared.requests.load(Ordering::Relaxed);
        }
    }
}

fn wait_for(count: &AtomicU64, min_count: u64, what: &str) {
    let deadline = Instant::now() + FLEET_TIMEOUT;
    while count.load(Ordering::Relaxed) < min_count {
        assert!(
            Instant::now() < deadline,
            "{what}: timed out waiting for {min_count}, got {count:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
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
            simulate_requests(Rc::clone(running.entry()), Rc::clone(&rng), Arc::clone(shared));
        compio::runtime::spawn(requests).detach();
    }
    while !shared.stop.load(Ordering::Relaxed) {
        let versions = boxes.iter().map(|running| running.entry().version());
        shared.version.store(versions.min().unwrap_or_default(), Ordering::Relaxed);
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Charges quotas and occupies endpoints as requests of callers would, until the runtime ends.
async fn simulate_requests(entry: Rc<Entry>, rng: Rc<RefCell<Pcg64Mcg>>, shared: Arc<Shared>) {
    loop {
        let delay = rng.borrow_mut().random_range(Duration::ZERO..2 * MEAN_REQUEST_INTERVAL);
        entry.timers.sleep(delay).await;
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
        entry.timers.sleep(REQUEST_DURATION).await;
        drop(occupied);
    }
}

/// A configuration with the fleet's organisations, each with a quota that it never exhausts.
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
/// If no control box accepts them in time.
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
        group.until("a box accepts a registration", |b| {
            let response = group.call(b, "POST", "/v1/endpoints", &report.to_string());
            response.is_some_and(|response| response.status == 200)
        });
    }
}

//! The control boxes of one deployment, each a real process on a loopback address of its own.

use std::collections::BTreeSet;
use std::io::Read as _;
use std::io::Write as _;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::Process;

/// Timeout for any operation of a group; far longer than any should take.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(40);

/// Log entries after which a control box takes a snapshot; few, so that all tests exercise
/// snapshots.
const SNAPSHOT_ENTRIES: u64 = 5;

/// How long remembered endpoints are used; longer than the boxes of a test take to start.
const REMEMBERED_MAX_AGE: Duration = Duration::from_secs(6);

/// Timeout for connecting and for each read of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The control boxes of a group, some of which may be stopped.
#[derive(Debug)]
pub struct ControlGroup {
    program: PathBuf,
    folder: TempDir,
    /// First three bytes of the boxes' addresses, so that groups do not share addresses.
    network: [u8; 3],
    port: u16,
    seeds: Vec<SocketAddr>,
    boxes: Vec<Option<Process>>,
    adapter: Option<&'static str>,
    snapshot_entries: u64,
}

/// The response of a control box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlResponse {
    /// HTTP status.
    pub status: u16,
    /// The leader's address, from the `Location` header of a redirect.
    pub leader: Option<SocketAddr>,
    /// The response body.
    pub body: String,
}

impl ControlResponse {
    /// Sends one request to the control box at `address`; none if no valid response arrives in
    /// time.
    pub fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Self> {
        let mut stream = TcpStream::connect_timeout(&address, REQUEST_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(REQUEST_TIMEOUT)).ok()?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let (head, body) = response.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let location = head.lines().find_map(|line| line.strip_prefix("location: http://"));
        let leader = location.and_then(|l| l.split('/').next()?.parse().ok());
        Some(Self { status, leader, body: body.to_owned() })
    }
}

/// First three bytes of loopback addresses that no other group of this process uses.
pub(crate) fn next_network() -> [u8; 3] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id() as u16);
    // Avoids the loopback addresses that other tests use.
    [127, 64 + (number >> 8) as u8 % 128, number as u8]
}

impl ControlGroup {
    /// Starts `count` boxes that form a group.
    ///
    /// # Panics
    ///
    /// If a box does not start.
    pub fn start(program: &Path, count: u8) -> Self {
        Self::start_adapted(program, count, None)
    }

    /// Starts `count` boxes that form a group and use the protocols of an adapter, if there is one.
    ///
    /// # Panics
    ///
    /// If a box does not start.
    pub fn start_adapted(program: &Path, count: u8, adapter: Option<&'static str>) -> Self {
        let network = next_network();
        let address = |i: u8| IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], i + 1));
        let free = TcpListener::bind((address(0), 0)).expect("a free port");
        let port = free.local_addr().expect("the port is bound").port();
        drop(free);
        let seeds = (0..count).map(|i| SocketAddr::new(address(i), port)).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let program = program.to_owned();
        let boxes = Vec::new();
        let snapshot_entries = SNAPSHOT_ENTRIES;
        let mut group =
            Self { program, folder, network, port, seeds, boxes, adapter, snapshot_entries };
        for i in 0..usize::from(count) {
            group.start_box(i, true);
        }
        group
    }

    /// Address of box `i` for other boxes.
    pub fn cluster_address(&self, i: usize) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, i as u8 + 1)), self.port)
    }

    /// Address of box `i` for operators and endpoints.
    pub fn address(&self, i: usize) -> SocketAddr {
        let mut address = self.cluster_address(i);
        address.set_port(self.port + 1);
        address
    }

    /// Starts a stopped box or a new one, with the running boxes as its seeds. `form_group` is for
    /// the first start of a group only.
    pub fn start_box(&mut self, i: usize, form_group: bool) {
        let running = self.running();
        let seeds = if form_group || running.is_empty() {
            self.seeds.clone()
        } else {
            running.into_iter().map(|i| self.cluster_address(i)).collect()
        };
        self.start_with_seeds(i, form_group, &seeds);
    }

    /// Starts a stopped box with box `seed` as its only seed.
    pub fn start_box_with_seed(&mut self, i: usize, seed: usize) {
        self.start_with_seeds(i, false, &[self.cluster_address(seed)]);
    }

    fn start_with_seeds(&mut self, i: usize, form_group: bool, seeds: &[SocketAddr]) {
        let settings = json!({
            "role": "control",
            "name": format!("control-{i}"),
            "availability_zone": "a",
            "listen": self.address(i),
            "cluster_listen": self.cluster_address(i),
            "seeds": seeds,
            "form_group": form_group,
            "data_folder": self.data_folder(i),
            "snapshot_entries": self.snapshot_entries,
            "remembered_ms": REMEMBERED_MAX_AGE.as_millis() as u64,
            "rollouts": { "rollback_ms": 5_000 },
        });
        let folder = self.folder.path();
        let process = match self.adapter {
            Some(adapter) => Process::spawn_adapted(&self.program, folder, &settings, adapter),
            None => Process::spawn(&self.program, folder, &settings),
        };
        if self.boxes.len() <= i {
            self.boxes.resize_with(i + 1, || None);
        }
        self.boxes[i] = Some(process);
    }

    /// Settings of an entry box that connects to the control boxes.
    pub fn entry_settings(&self, name: &str) -> Value {
        json!({
            "name": name,
            "availability_zone": "a",
            "availability_zones": ["a", "b"],
            "listen": "127.0.0.1:0",
            "operators": { "listen": "127.0.0.1:0" },
            "forwarded_listen": "127.0.0.1:0",
            "control": { "seeds": self.seeds, "port": self.port },
            "routing": { "policy": "expected_work", "fresh_for_at_most_once": false },
            "stop": { "accept_ms": 200, "finish_ms": 5_000 },
        })
    }

    /// Starts an entry box that connects to the control boxes.
    pub fn start_entry(&self, name: &str) -> Process {
        self.start_with_settings(&self.entry_settings(name))
    }

    /// Starts an entry box that connects to the control box at `seed`, which may be a proxy.
    pub fn start_entry_at(&self, name: &str, seed: SocketAddr) -> Process {
        let mut settings = self.entry_settings(name);
        settings["control"] = json!({ "seeds": [seed], "port": seed.port() });
        self.start_with_settings(&settings)
    }

    /// Starts an entry box with settings based on [`Self::entry_settings`].
    pub fn start_with_settings(&self, settings: &Value) -> Process {
        let folder = self.folder.path();
        match self.adapter {
            Some(adapter) => Process::spawn_adapted(&self.program, folder, settings, adapter),
            None => Process::spawn(&self.program, folder, settings),
        }
    }

    fn data_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("data-{i}"))
    }

    /// The process of a running box.
    ///
    /// # Panics
    ///
    /// If the box is not running.
    pub fn process(&self, i: usize) -> &Process {
        self.boxes[i].as_ref().expect("the box is running")
    }

    /// Kills a box.
    pub fn kill(&mut self, i: usize) {
        self.boxes[i] = None;
    }

    /// Removes the data folder of a stopped box.
    ///
    /// # Panics
    ///
    /// If it can't be removed.
    pub fn wipe(&self, i: usize) {
        std::fs::remove_dir_all(self.data_folder(i)).expect("the folder can be removed");
    }

    /// Indices of the running boxes.
    pub fn running(&self) -> Vec<usize> {
        (0..self.boxes.len()).filter(|i| self.boxes[*i].is_some()).collect()
    }

    /// Sends one request to a box; none if no valid response arrives in time.
    pub fn call(&self, i: usize, method: &str, path: &str, body: &str) -> Option<ControlResponse> {
        ControlResponse::request(self.address(i), method, path, body)
    }

    /// Sends a configuration in the form of the group's protocol, until a box accepts it.
    ///
    /// # Panics
    ///
    /// If no box accepts it in time.
    pub fn configure(&self, configuration: &Value) {
        let body = configuration.to_string();
        let (method, path) = match self.adapter {
            Some(_) => ("POST", "/config/replace"),
            None => ("PUT", "/v1/configuration"),
        };
        self.until("a box accepts the configuration", |i| {
            let response = self.call(i, method, path, &body);
            response.is_some_and(|response| response.status == 200)
        });
    }

    /// The newest committed configuration, by a linearizable read.
    ///
    /// # Panics
    ///
    /// If no box returns it in time.
    pub fn configuration(&self) -> Value {
        let i = self.until("a box returns the configuration", |i| {
            let response = self.call(i, "GET", "/v1/configuration", "");
            response.is_some_and(|response| response.status == 200)
        });
        let response =
            self.call(i, "GET", "/v1/configuration", "").expect("the box returned it just before");
        serde_json::from_str(&response.body).expect("JSON")
    }

    /// Index of the leader.
    ///
    /// # Panics
    ///
    /// If no box becomes the leader in time.
    pub fn leader(&self) -> usize {
        self.until("a box is the leader", |i| self.state(i)["role"] == "Leader")
    }

    /// The state of a box; null if it does not return one.
    pub fn state(&self, i: usize) -> Value {
        let response = self.call(i, "GET", "/v1/state", "");
        response.and_then(|a| serde_json::from_str(&a.body).ok()).unwrap_or(Value::Null)
    }

    /// Waits until the leader's voters are exactly the running boxes and its whole log is
    /// committed.
    ///
    /// # Panics
    ///
    /// If the membership does not settle in time.
    pub fn wait_for_voters(&self) {
        self.until("exactly the running boxes are voters", |i| {
            let state = self.state(i);
            let node = |i: usize| self.state(i)["node"].as_u64();
            let running: BTreeSet<_> = self.running().into_iter().map(node).collect();
            let voters = state["members"]["voters"].as_array().cloned().unwrap_or_default();
            let voters: BTreeSet<_> = voters.iter().map(Value::as_u64).collect();
            let settled = state["committed"] == state["last"];
            state["role"] == "Leader" && voters == running && settled
        });
    }

    /// Polls the running boxes until one satisfies `check`; returns its index. `what` names the
    /// condition in the panic message.
    ///
    /// # Panics
    ///
    /// If none does in time.
    pub fn until(&self, what: &str, check: impl Fn(usize) -> bool) -> usize {
        let deadline = Instant::now() + OPERATION_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(i) = self.running().into_iter().find(|i| check(*i)) {
                return i;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let states: Vec<_> = self.running().into_iter().map(|i| self.state(i)).collect();
        panic!("timed out after {OPERATION_TIMEOUT:?} waiting until {what}; states: {states:#?}");
    }
}

/// A configuration without routes.
pub fn empty_configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [],
        "services": [],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 1_048_576,
            "header_within": { "secs": 3, "nanos": 0 },
            "idle_within": { "secs": 15, "nanos": 0 }
        },
        "organisations": []
    })
}

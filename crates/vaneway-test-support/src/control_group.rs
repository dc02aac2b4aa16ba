//! Control boxes of one deployment, as real processes at loopback addresses of their own.

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

/// How long a group may take for anything that it is asked to do; far beyond what it needs.
const WITHIN: Duration = Duration::from_secs(40);

/// Entries after which a snapshot takes their place: few, so that all tests meet snapshots.
const SNAPSHOT_ENTRIES: u64 = 5;

/// How long remembered endpoints count: longer than the boxes of a test take to start.
const REMEMBERED: Duration = Duration::from_secs(6);

/// How long one call may take.
const CALL_WITHIN: Duration = Duration::from_secs(2);

/// Control boxes, some of which run.
#[derive(Debug)]
pub struct ControlGroup {
    program: PathBuf,
    folder: TempDir,
    /// First three bytes of the boxes' addresses, so that groups do not meet.
    network: [u8; 3],
    port: u16,
    seeds: Vec<SocketAddr>,
    boxes: Vec<Option<Process>>,
    adapter: Option<&'static str>,
    snapshot_entries: u64,
}

/// What a box answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlResponse {
    /// HTTP status.
    pub status: u16,
    /// Where the box says that the leader is.
    pub leader: Option<SocketAddr>,
    /// The body.
    pub body: String,
}

impl ControlResponse {
    /// The answer of the control box at `address` to one call; none if it does not answer in time.
    pub fn request(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Self> {
        let mut stream = TcpStream::connect_timeout(&address, CALL_WITHIN).ok()?;
        stream.set_read_timeout(Some(CALL_WITHIN)).ok()?;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let location = head.lines().find_map(|line| line.strip_prefix("location: http://"));
        let leader = location.and_then(|l| l.split('/').next()?.parse().ok());
        Some(Self { status, leader, body: body.to_owned() })
    }
}

/// First three bytes of addresses that no other group of this process has.
pub(crate) fn next_network() -> [u8; 3] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed).wrapping_add(std::process::id() as u16);
    // Away from the addresses that other tests use.
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

    /// Starts `count` boxes that form a group and speak the protocols of an adapter.
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

    /// Where other boxes reach box `i`.
    pub fn cluster_address(&self, i: usize) -> SocketAddr {
        let [a, b, c] = self.network;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, i as u8 + 1)), self.port)
    }

    /// Where operators and endpoints reach box `i`.
    pub fn address(&self, i: usize) -> SocketAddr {
        let mut address = self.cluster_address(i);
        address.set_port(self.port + 1);
        address
    }

    /// Starts a box that is down, or a new one, which finds the others by those that run now; only
    /// the first start of a group may form it.
    pub fn start_box(&mut self, i: usize, form_group: bool) {
        let running = self.running();
        let seeds = if form_group || running.is_empty() {
            self.seeds.clone()
        } else {
            running.into_iter().map(|i| self.cluster_address(i)).collect()
        };
        self.start_with_seeds(i, form_group, &seeds);
    }

    /// Starts a box that is down, and tells it only of box `seed`.
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
            "remembered_ms": REMEMBERED.as_millis() as u64,
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

    /// Settings of an entry box that follows the control boxes.
    pub fn entry_settings(&self, name: &str) -> Value {
        json!({
            "name": name,
            "availability_zone": "a",
            "availability_zones": ["a", "b"],
            "listen": "127.0.0.1:0",
            "operators": { "listen": "127.0.0.1:0" },
            "control": { "seeds": self.seeds, "port": self.port },
            "routing": { "policy": "expected_work", "fresh_for_at_most_once": false },
            "stop": { "accept_ms": 200, "finish_ms": 5_000 },
        })
    }

    /// Starts an entry box that follows the control boxes.
    pub fn start_entry(&self, name: &str) -> Process {
        let settings = self.entry_settings(name);
        let folder = self.folder.path();
        match self.adapter {
            Some(adapter) => Process::spawn_adapted(&self.program, folder, &settings, adapter),
            None => Process::spawn(&self.program, folder, &settings),
        }
    }

    fn data_folder(&self, i: usize) -> PathBuf {
        self.folder.path().join(format!("data-{i}"))
    }

    /// A box that runs.
    ///
    /// # Panics
    ///
    /// If the box is down.
    pub fn process(&self, i: usize) -> &Process {
        self.boxes[i].as_ref().expect("the box runs")
    }

    /// Kills a box.
    pub fn kill(&mut self, i: usize) {
        self.boxes[i] = None;
    }

    /// Removes what a box that is down had on its disk.
    ///
    /// # Panics
    ///
    /// If it can't be removed.
    pub fn wipe(&self, i: usize) {
        std::fs::remove_dir_all(self.data_folder(i)).expect("the folder can be removed");
    }

    /// Boxes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.boxes.len()).filter(|i| self.boxes[*i].is_some()).collect()
    }

    /// One call to a box; none if it does not answer in time.
    pub fn call(&self, i: usize, method: &str, path: &str, body: &str) -> Option<ControlResponse> {
        ControlResponse::request(self.address(i), method, path, body)
    }

    /// Puts a configuration in force, at whichever box takes it, in the form of the group's protocol.
    ///
    /// # Panics
    ///
    /// If none takes it in time.
    pub fn configure(&self, configuration: &Value) {
        let body = configuration.to_string();
        let (method, path) = match self.adapter {
            Some(_) => ("POST", "/config/replace"),
            None => ("PUT", "/v1/configuration"),
        };
        self.until("a box takes the configuration", |i| {
            let answer = self.call(i, method, path, &body);
            answer.is_some_and(|answer| answer.status == 200)
        });
    }

    /// The configuration that is surely the newest.
    ///
    /// # Panics
    ///
    /// If no box can tell in time.
    pub fn configuration(&self) -> Value {
        let i = self.until("a box tells the configuration", |i| {
            let answer = self.call(i, "GET", "/v1/configuration", "");
            answer.is_some_and(|answer| answer.status == 200)
        });
        let answer = self.call(i, "GET", "/v1/configuration", "").expect("it told just now");
        serde_json::from_str(&answer.body).expect("JSON")
    }

    /// The box that leads.
    ///
    /// # Panics
    ///
    /// If none does in time.
    pub fn leader(&self) -> usize {
        self.until("a box leads", |i| self.state(i)["role"] == "Leader")
    }

    /// The state of a box; null if it does not tell.
    pub fn state(&self, i: usize) -> Value {
        let answer = self.call(i, "GET", "/v1/state", "");
        answer.and_then(|a| serde_json::from_str(&a.body).ok()).unwrap_or(Value::Null)
    }

    /// Waits until exactly the boxes that run have a vote, and all of them know.
    ///
    /// # Panics
    ///
    /// If that does not come about in time.
    pub fn wait_for_voters(&self) {
        self.until("the boxes that run have the votes", |i| {
            let state = self.state(i);
            let node = |i: usize| self.state(i)["node"].as_u64();
            let running: BTreeSet<_> = self.running().into_iter().map(node).collect();
            let voters = state["members"]["voters"].as_array().cloned().unwrap_or_default();
            let voters: BTreeSet<_> = voters.iter().map(Value::as_u64).collect();
            let settled = state["committed"] == state["last"];
            state["role"] == "Leader" && voters == running && settled
        });
    }

    /// Asks the boxes that run in turn until one satisfies `check`; returns which.
    ///
    /// # Panics
    ///
    /// If none does in time.
    pub fn until(&self, what: &str, check: impl Fn(usize) -> bool) -> usize {
        let end = Instant::now() + WITHIN;
        while Instant::now() < end {
            if let Some(i) = self.running().into_iter().find(|i| check(*i)) {
                return i;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        let states: Vec<_> = self.running().into_iter().map(|i| self.state(i)).collect();
        panic!("waited in vain until {what}; states: {states:#?}");
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

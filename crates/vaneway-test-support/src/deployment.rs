//! A builder for the settings of an entry box with its services and replicas, and its process.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::Caller;
use crate::Process;

/// The token of the organisation that [`Deployment::caller`] authenticates as.
pub const TOKEN: &str = "token-of-teachers";

/// The shared key that authenticates datagrams between the boxes of a deployment.
pub const CLUSTER_KEY: &str = "a key between boxes";

/// The model served by the deployment's engines.
pub const MODEL: &str = "scribe-1";

/// Availability zones of the deployment.
pub const ZONES: [&str; 3] = ["north", "middle", "south"];

/// One replica of a service.
#[derive(Debug, Clone)]
pub struct Replica {
    name: String,
    address: SocketAddr,
    zone: &'static str,
    software: Option<&'static str>,
}

impl Replica {
    /// A replica in the first availability zone.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self { name: name.to_owned(), address, zone: ZONES[0], software: None }
    }

    /// Sets the availability zone.
    #[must_use]
    pub fn in_zone(mut self, zone: &'static str) -> Self {
        self.zone = zone;
        self
    }

    /// Sets the software version.
    #[must_use]
    pub fn with_software(mut self, software: &'static str) -> Self {
        self.software = Some(software);
        self
    }

    /// Its entry in the settings.
    pub fn to_json(&self) -> Value {
        let mut replica = json!({
            "name": self.name,
            "address": self.address,
            "availability_zone": self.zone,
            "box": format!("box-{}", self.name),
        });
        if let Some(software) = self.software {
            replica["software"] = software.into();
        }
        replica
    }
}

/// Settings of an entry box, and a temporary folder that is removed when this is dropped.
#[derive(Debug)]
pub struct Deployment {
    program: PathBuf,
    folder: TempDir,
    settings: Value,
}

impl Deployment {
    /// A deployment of one entry box without services; `program` is the `vaneway` binary.
    ///
    /// # Panics
    ///
    /// If a temporary folder can't be created.
    pub fn new(program: impl AsRef<Path>) -> Self {
        let settings = json!({
            "name": "entry-1",
            "availability_zones": ZONES,
            "availability_zone": ZONES[0],
            "listen": "127.0.0.1:0",
            "operators": { "listen": "127.0.0.1:0" },
            "organisations": [
                { "name": "teachers", "token": TOKEN, "priority": 7 },
                { "name": "archivists", "token": "token-of-archivists", "priority": 3 },
            ],
            "services": [],
            "stop": { "accept_ms": 0, "finish_ms": 60_000 },
        });
        let folder = tempfile::tempdir().expect("a temporary folder");
        Self { program: program.as_ref().to_owned(), folder, settings }
    }

    /// Adds a model service named `lm-scribes`.
    #[must_use]
    pub fn engines(self, replicas: &[Replica]) -> Self {
        self.service(json!({
            "name": "lm-scribes",
            "kind": "model",
            "models": [MODEL],
            "patience_ms": 200,
            "stall_ms": 5_000,
            "replicas": replicas.iter().map(Replica::to_json).collect::<Vec<_>>(),
        }))
    }

    /// Adds a plain service named `reading-room`, in which `POST /payments` is not repeatable.
    #[must_use]
    pub fn plain(self, replicas: &[Replica]) -> Self {
        self.service(json!({
            "name": "reading-room",
            "kind": "plain",
            "patience_ms": 200,
            "stall_ms": 5_000,
            "not_run_header": crate::plain_service::NOT_RUN_HEADER,
            "non_repeatable": [{ "method": "POST", "path": "/payments" }],
            "replicas": replicas.iter().map(Replica::to_json).collect::<Vec<_>>(),
        }))
    }

    /// Adds a service with the given settings.
    ///
    /// # Panics
    ///
    /// If [`Deployment::set`] has replaced `/services` by something other than an array.
    #[must_use]
    pub fn service(mut self, service: Value) -> Self {
        self.settings["services"].as_array_mut().expect("an array").push(service);
        self
    }

    /// Sets one field by its JSON pointer, such as `/limits`.
    ///
    /// # Panics
    ///
    /// If the pointer's parent does not exist.
    #[must_use]
    pub fn set(mut self, pointer: &str, value: Value) -> Self {
        let (parent, field) = pointer.rsplit_once('/').expect("a JSON pointer");
        let parent = self.settings.pointer_mut(parent).expect("the parent exists");
        parent[field] = value;
        self
    }

    /// Reads the list of boxes and the notices of the platform at `address`.
    #[must_use]
    pub fn platform(self, address: SocketAddr) -> Self {
        self.set("/platform", json!({ "address": address, "list_every_ms": 50 }))
    }

    /// Sets the name of this box and its peers, each with the address for its datagrams.
    #[must_use]
    pub fn cluster(self, name: &str, peers: &[(String, SocketAddr)]) -> Self {
        let peers: Vec<_> = peers
            .iter()
            .map(|(name, address)| json!({ "name": name, "address": address }))
            .collect();
        self.set("/name", name.into())
            .set("/cluster", json!({ "listen": "127.0.0.1:0", "key": CLUSTER_KEY }))
            .set("/peers", peers.into())
    }

    /// The settings of the entry box.
    pub fn settings(&self) -> &Value {
        &self.settings
    }

    /// The temporary folder for the files of this deployment.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts the entry box as a real process.
    pub fn start(&self) -> Process {
        Process::spawn(&self.program, self.folder.path(), &self.settings)
    }

    /// A client of the entry box.
    pub fn caller(&self, process: &Process) -> Caller {
        Caller::new(process.listen(), TOKEN)
    }
}

/// Waits until `condition` holds. There is no timeout: a test whose condition never holds is
/// stopped by the test runner.
pub async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

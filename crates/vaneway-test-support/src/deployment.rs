//! A short language for the setup of a test: replicas, services, and processes over them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::Caller;
use crate::Process;

/// The token of the organisation that [`Deployment::caller`] belongs to.
pub const TOKEN: &str = "token-of-teachers";

/// The key that the boxes of a deployment share.
pub const CLUSTER_KEY: &str = "a key between boxes";

/// The model that the deployment's engines serve.
pub const MODEL: &str = "scribe-1";

/// Availability zones of the deployment.
pub const ZONES: [&str; 3] = ["north", "middle", "south"];

/// One replica of a service.
#[derive(Debug, Clone)]
pub struct Replica {
    name: String,
    address: SocketAddr,
    zone: &'static str,
}

impl Replica {
    /// A replica in the first availability zone.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self { name: name.to_owned(), address, zone: ZONES[0] }
    }

    /// The same replica in another availability zone.
    #[must_use]
    pub fn in_zone(mut self, zone: &'static str) -> Self {
        self.zone = zone;
        self
    }

    fn to_json(&self) -> Value {
        json!({
            "name": self.name,
            "address": self.address,
            "availability_zone": self.zone,
            "box": format!("box-{}", self.name),
        })
    }
}

/// Settings in the making, and a folder that lives as long.
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
    /// If there is no place for temporary files.
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

    /// Adds a plain service named `reading-room` whose payments may not be repeated.
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

    /// Adds a service as its settings say.
    ///
    /// # Panics
    ///
    /// Never, for the settings that this type makes.
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

    /// Follows the platform at `address`.
    #[must_use]
    pub fn platform(self, address: SocketAddr) -> Self {
        self.set("/platform", json!({ "address": address, "list_every_ms": 50 }))
    }

    /// Names this box and its peers, each with the address where its datagrams go.
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

    /// The settings.
    pub fn settings(&self) -> &Value {
        &self.settings
    }

    /// The folder for files of this deployment.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Starts the entry as a real process.
    pub fn start(&self) -> Process {
        Process::spawn(&self.program, self.folder.path(), &self.settings)
    }

    /// A caller of the entry.
    pub fn caller(&self, process: &Process) -> Caller {
        Caller::new(process.listen(), TOKEN)
    }
}

/// Waits until `condition` holds, without a limit of its own: what never comes true is ended by
/// the runner.
pub async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        compio::time::sleep(Duration::from_millis(2)).await;
    }
}

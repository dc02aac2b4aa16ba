//! Several entry boxes of one deployment, with a proxy for the datagrams to each of them.

use std::net::SocketAddr;
use std::path::Path;

use crate::Deployment;
use crate::Process;
use crate::Proxy;
use crate::Replica;

/// Entry boxes named `entry-1`, `entry-2`, …, killed when dropped.
#[derive(Debug)]
pub struct EntryGroup {
    deployments: Vec<Deployment>,
    /// The processes; none for a stopped one.
    entries: Vec<Option<Process>>,
    /// The proxy for the datagrams to each box.
    pub proxies: Vec<Proxy>,
}

impl EntryGroup {
    /// Starts `count` entry boxes that route to `engines`; only the first uses the platform.
    pub fn start(program: &Path, count: usize, engines: &[Replica], platform: SocketAddr) -> Self {
        let proxies: Vec<_> = (0..count).map(|i| Proxy::udp(i as u64 + 1)).collect();
        let addresses: Vec<(String, SocketAddr)> = proxies
            .iter()
            .enumerate()
            .map(|(i, proxy)| (format!("entry-{}", i + 1), proxy.address()))
            .collect();
        let deployments: Vec<_> = (0..count)
            .map(|i| {
                let others: Vec<_> = addresses
                    .iter()
                    .enumerate()
                    .filter(|(j, _)| *j != i)
                    .map(|(_, n)| n.clone())
                    .collect();
                let deployment = Deployment::new(program).engines(engines);
                let deployment = deployment.cluster(&addresses[i].0, &others);
                if i == 0 { deployment.platform(platform) } else { deployment }
            })
            .collect();
        let entries = (0..count).map(|_| None).collect();
        let mut group = Self { deployments, entries, proxies };
        for i in 0..count {
            group.restart(i);
        }
        group
    }

    /// Starts a stopped box.
    pub fn restart(&mut self, i: usize) {
        let process = self.deployments[i].start();
        self.proxies[i].set_target(process.cluster());
        self.entries[i] = Some(process);
    }

    /// Kills a box.
    pub fn kill(&mut self, i: usize) {
        self.entries[i] = None;
    }

    /// The process of a running box.
    ///
    /// # Panics
    ///
    /// If the box is not running.
    pub fn entry(&self, i: usize) -> &Process {
        self.entries[i].as_ref().expect("the box is running")
    }

    /// The processes of the running boxes.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.entries.iter().flatten()
    }
}

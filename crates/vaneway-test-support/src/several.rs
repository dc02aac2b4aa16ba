//! Several entry boxes of one deployment, with a proxy in front of each one's datagrams.

use std::net::SocketAddr;
use std::path::Path;

use crate::Deployment;
use crate::Process;
use crate::Proxy;
use crate::Replica;

/// Running entry boxes named `entry-1`, `entry-2`, ….
#[derive(Debug)]
pub struct EntryGroup {
    deployments: Vec<Deployment>,
    /// The processes; none while one is down.
    entries: Vec<Option<Process>>,
    /// The proxy that each box's datagrams pass.
    pub proxies: Vec<Proxy>,
}

impl EntryGroup {
    /// Starts `count` entries before `engines`; only the first follows the platform.
    pub fn start(program: &Path, count: usize, engines: &[Replica], platform: SocketAddr) -> Self {
        let proxies: Vec<_> = (0..count).map(|i| Proxy::udp(i as u64 + 1)).collect();
        let named: Vec<(String, SocketAddr)> = proxies
            .iter()
            .enumerate()
            .map(|(i, proxy)| (format!("entry-{}", i + 1), proxy.address()))
            .collect();
        let deployments: Vec<_> = (0..count)
            .map(|i| {
                let others: Vec<_> = named
                    .iter()
                    .enumerate()
                    .filter(|(j, _)| *j != i)
                    .map(|(_, n)| n.clone())
                    .collect();
                let deployment = Deployment::new(program).engines(engines);
                let deployment = deployment.cluster(&named[i].0, &others);
                if i == 0 { deployment.platform(platform) } else { deployment }
            })
            .collect();
        let entries = (0..count).map(|_| None).collect();
        let mut several = Self { deployments, entries, proxies };
        for i in 0..count {
            several.restart(i);
        }
        several
    }

    /// Starts a box that is down.
    pub fn restart(&mut self, i: usize) {
        let process = self.deployments[i].start();
        self.proxies[i].set_target(process.cluster());
        self.entries[i] = Some(process);
    }

    /// Kills a box.
    pub fn kill(&mut self, i: usize) {
        self.entries[i] = None;
    }

    /// A box that runs.
    ///
    /// # Panics
    ///
    /// If it is down.
    pub fn entry(&self, i: usize) -> &Process {
        self.entries[i].as_ref().expect("the box runs")
    }

    /// Every box that runs.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.entries.iter().flatten()
    }
}

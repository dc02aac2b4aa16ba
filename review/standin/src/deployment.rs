//! A small deployment: processes of the project's programs, started with the commands of
//! `deploy/system.toml` and with the settings' templates beside it, each machine at a loopback
//! address of its own.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::template;
use crate::template::Value;
use crate::template::text;

/// The availability zones, as in `kbd-vaneway`.
pub const ZONES: [&str; 3] = ["hall-mechelen", "hall-namur", "hall-leuven"];

/// Ports of a machine, counted from the first.
const FRONT: u16 = 0;
const READY: u16 = 1;
const CONTROL: u16 = 2;
const INTERNAL: u16 = 3;
const PORTS: u16 = 19;

/// One machine with its process.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    ip: Ipv4Addr,
    zone: &'static str,
    role: &'static str,
    settings: PathBuf,
    process: Option<Child>,
}

/// The machines of a deployment. Dropping it kills all processes.
#[derive(Debug)]
pub struct Deployment {
    folder: PathBuf,
    first_port: u16,
    /// Machines that serve control.
    pub cores: Vec<Machine>,
    /// Machines that take clients.
    pub fronts: Vec<Machine>,
    cloud: Option<SocketAddr>,
}

/// A number that differs from run to run.
fn run_number() -> u32 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().subsec_nanos() ^ std::process::id().wrapping_mul(2_654_435_761)
}

/// A loopback network for this run, and a first port that is free at all its addresses.
fn free_addresses(count: u8) -> io::Result<(Vec<Ipv4Addr>, u16)> {
    for attempt in 0..200 {
        let number = run_number().wrapping_add(attempt * 7_919);
        let (a, b) = (64 + (number % 120) as u8, (number / 120 % 250) as u8);
        let ips: Vec<_> = (1..=count).map(|n| Ipv4Addr::new(127, a, b, n)).collect();
        let port = 20_000 + (number / 7 % 10_000) as u16;
        let is_free =
            |ip: &Ipv4Addr| (port..port + PORTS).all(|port| TcpListener::bind((*ip, port)).is_ok());
        if ips.iter().all(is_free) {
            return Ok((ips, port));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The `run` line of a role in `deploy/system.toml`.
fn command_of(role: &str) -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml")?;
    let section = text.split("[roles.").find(|section| section.starts_with(role));
    let line = section.and_then(|section| section.lines().find(|line| line.starts_with("run")));
    let words = line.and_then(|line| line.split('"').nth(1));
    let words = words.ok_or(io::ErrorKind::NotFound)?;
    Ok(words.split(' ').map(str::to_owned).collect())
}

impl Deployment {
    /// Prepares a deployment with three machines that serve control, one in each zone, and `fronts`
    /// that take clients. Nothing is started.
    ///
    /// # Errors
    ///
    /// If there are no free addresses, or no temporary folder can be made.
    pub fn new(fronts: u8, cloud: Option<SocketAddr>) -> io::Result<Self> {
        let (ips, first_port) = free_addresses(3 + fronts)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let machine = |role: &'static str, n: usize| {
            let zone = ZONES[n % ZONES.len()];
            let name = format!("{role}-{zone}-{}", 1 + n / ZONES.len());
            let ip = ips[if role == "core" { n } else { 3 + n }];
            let settings = folder.join(format!("{name}.json"));
            Machine { name, ip, zone, role, settings, process: None }
        };
        let cores = (0..3).map(|n| machine("core", n)).collect();
        let fronts = (0..usize::from(fronts)).map(|n| machine("front", n)).collect();
        Ok(Self { folder, first_port, cores, fronts, cloud })
    }

    fn at(&self, machine: &Machine, port: u16) -> SocketAddr {
        SocketAddr::from((machine.ip, self.first_port + port))
    }

    /// Where a machine takes clients.
    pub fn front(&self, n: usize) -> SocketAddr {
        self.at(&self.fronts[n], FRONT)
    }

    /// Where a machine says whether it is ready.
    pub fn ready(&self, n: usize) -> SocketAddr {
        self.at(&self.fronts[n], READY)
    }

    /// Where the machines serve control.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.cores.iter().map(|core| self.at(core, CONTROL)).collect()
    }

    /// The fields from which the settings of a machine are filled.
    fn fields(&self, machine: &Machine, bootstrap: bool) -> Value {
        let zones = ZONES.iter().map(|zone| ((*zone).to_owned(), text("be-central")));
        let seeds = self.controls().into_iter().map(text).collect();
        let data = self.folder.join(format!("{}.data", machine.name));
        let bounds = Value::table([
            ("report_window_s", text(5)),
            ("quota_window_s", text(8)),
            ("quota_overage", text(0.1)),
            ("quota_slack", text(72_000)),
            ("retry_slack", text(56)),
            ("retry_budget", text(0.2)),
        ]);
        let mut fields = vec![
            ("node_name", text(&machine.name)),
            ("ip", text(machine.ip)),
            ("zone", text(machine.zone)),
            ("zones", Value::Table(zones.collect())),
            (
                "listen",
                Value::table([
                    ("front", text(self.at(machine, FRONT))),
                    ("ready", text(self.at(machine, READY))),
                    ("control", text(self.at(machine, CONTROL))),
                ]),
            ),
            (
                "internal_ports",
                Value::List(vec![
                    text(self.first_port + INTERNAL),
                    text(self.first_port + PORTS - 1),
                ]),
            ),
            ("seeds", Value::List(seeds)),
            ("bootstrap", Value::Flag(bootstrap)),
            ("bounds", bounds),
        ];
        if machine.role == "core" {
            fields.push(("data_dir", text(data.display())));
        }
        if let Some(cloud) = self.cloud {
            fields.push(("cloud", Value::table([("address", text(cloud))])));
        }
        Value::Table(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    fn spawn(&self, machine: &Machine, bootstrap: bool) -> io::Result<Child> {
        let role = if machine.role == "core" { "control" } else { "entry" };
        let template = fs::read_to_string(format!("deploy/{role}.json"))?;
        fs::write(&machine.settings, template::fill(&template, &self.fields(machine, bootstrap)))?;
        let words = command_of(role)?;
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log)?;
        let arguments = words[1..].iter().map(|word| match word.as_str() {
            "/etc/vaneway/settings.json" => machine.settings.display().to_string(),
            word => word.to_owned(),
        });
        let (out, err) = (log.try_clone()?, log);
        Command::new(&words[0]).args(arguments).stdin(Stdio::null()).stdout(out).stderr(err).spawn()
    }

    /// Starts all machines for the first time.
    ///
    /// # Errors
    ///
    /// If a process can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        for n in 0..self.cores.len() {
            self.cores[n].process = Some(self.spawn(&self.cores[n], true)?);
        }
        for n in 0..self.fronts.len() {
            self.fronts[n].process = Some(self.spawn(&self.fronts[n], true)?);
        }
        Ok(())
    }

    /// Kills the process of a machine that serves control.
    pub fn kill_core(&mut self, n: usize) {
        if let Some(process) = &mut self.cores[n].process {
            let _ended_already = process.kill();
            let _status = process.wait();
        }
    }

    /// Starts it again, with its disk.
    ///
    /// # Errors
    ///
    /// If the process can't be started.
    pub fn start_core(&mut self, n: usize) -> io::Result<()> {
        self.cores[n].process = Some(self.spawn(&self.cores[n], false)?);
        Ok(())
    }

    /// Sends a configuration to the machines that serve control until one acknowledges it. Returns
    /// when that was; none if none does in time.
    pub fn configure(&self, configuration: &str, timeout: Duration) -> Option<Instant> {
        let until = Instant::now() + timeout;
        let controls = self.controls();
        let mut target = controls[0];
        let mut n = 0;
        while Instant::now() < until {
            let wait = Duration::from_secs(1);
            let response = http::call(target, "POST", "/config/replace", configuration, wait);
            match response {
                Ok(head) if head.status() == 200 => return Some(Instant::now()),
                Ok(head) if head.status() == 307 => {
                    let location = head.get("location").unwrap_or_default();
                    let address = location.trim_start_matches("http://").split('/').next();
                    target = address.and_then(|text| text.parse().ok()).unwrap_or(controls[0]);
                }
                _ => {
                    n += 1;
                    target = controls[n % controls.len()];
                    sleep(Duration::from_millis(100));
                }
            }
        }
        None
    }

    /// Waits until all machines that take clients are ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let is_ready = |n: usize| {
            let wait = Duration::from_secs(1);
            let response = http::call(self.ready(n), "GET", "/ready", "", wait);
            response.is_ok_and(|head| head.status() == 200)
        };
        while Instant::now() < until {
            if (0..self.fronts.len()).all(is_ready) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in self.cores.iter_mut().chain(&mut self.fronts) {
            if let Some(mut process) = machine.process.take() {
                let _ended_already = process.kill();
                let _status = process.wait();
            }
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _best_effort = fs::remove_dir_all(&self.folder);
        }
    }
}

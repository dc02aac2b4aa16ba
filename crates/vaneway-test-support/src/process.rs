//! A real `vaneway` process.

use std::io::BufRead as _;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;

/// Timeout for a line of a process's log to appear; far longer than any should take.
const LINE_TIMEOUT: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Log {
    /// The lines so far, and whether the log has ended.
    lines: Mutex<(Vec<String>, bool)>,
    changed: Condvar,
}

impl Log {
    /// Appends a line; none marks the end of the log.
    fn push(&self, line: Option<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        match line {
            Some(line) => lines.0.push(line),
            None => lines.1 = true,
        }
        self.changed.notify_all();
    }

    /// Waits for a line that contains all of `parts`; none if the log ends or the timeout expires
    /// before.
    fn wait_for(&self, parts: &[&str]) -> Option<String> {
        let find = |lines: &[String]| {
            lines.iter().find(|line| parts.iter().all(|part| line.contains(part))).cloned()
        };
        let lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let waiting = |lines: &mut (Vec<String>, bool)| find(&lines.0).is_none() && !lines.1;
        let waited = self.changed.wait_timeout_while(lines, LINE_TIMEOUT, waiting);
        let (lines, _timed_out) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        find(&lines.0)
    }

    fn text(&self) -> String {
        self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner).0.join("\n")
    }
}

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: Arc<Log>,
    listen: SocketAddr,
    operators: SocketAddr,
}

impl Process {
    /// Starts the program with settings written into `folder`, and waits until it listens.
    ///
    /// # Panics
    ///
    /// If the process can't be started or exits before it listens; the message contains its log.
    pub fn spawn(program: &Path, folder: &Path, settings: &Value) -> Self {
        Self::spawn_with_log(program, folder, settings, "debug,hyper=warn,compio=warn")
    }

    /// Like [`Process::spawn`], with the protocols of an adapter.
    ///
    /// # Panics
    ///
    /// As [`Process::spawn`].
    pub fn spawn_adapted(program: &Path, folder: &Path, settings: &Value, adapter: &str) -> Self {
        let level = "debug,hyper=warn,compio=warn";
        Self::spawn_command(program, folder, settings, level, &["--adapter", adapter])
    }

    /// Like [`Process::spawn`], with another log level; `info` messages must be enabled, since the
    /// process's addresses are read from its log.
    ///
    /// # Panics
    ///
    /// As [`Process::spawn`].
    pub fn spawn_with_log(program: &Path, folder: &Path, settings: &Value, level: &str) -> Self {
        Self::spawn_command(program, folder, settings, level, &[])
    }

    fn spawn_command(
        program: &Path,
        folder: &Path,
        settings: &Value,
        level: &str,
        options: &[&str],
    ) -> Self {
        let name = settings["name"].as_str().expect("the settings contain a name");
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("the settings can be written");
        let mut child = Command::new(program)
            .arg("run")
            .args(options)
            .arg(&file)
            .env("VANEWAY_LOG", level)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let log = Arc::new(Log::default());
        let stdout = BufReader::new(child.stdout.take().expect("standard output is piped"));
        let for_thread = Arc::clone(&log);
        std::thread::spawn(move || {
            stdout.lines().map_while(Result::ok).for_each(|line| for_thread.push(Some(line)));
            for_thread.push(None);
        });
        let Some(started) = log.wait_for(&["event=started"]) else {
            panic!("the process did not start:\n{}", log.text());
        };
        let listen = address_in(&started, " listen=");
        // A control box serves operators at its only address.
        let operators = if started.contains(" operators=") {
            address_in(&started, " operators=")
        } else {
            listen
        };
        Self { child, log, listen, operators }
    }

    /// Address for callers.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// Address for operators.
    pub fn operators(&self) -> SocketAddr {
        self.operators
    }

    /// Address for the datagrams of its peers.
    ///
    /// # Panics
    ///
    /// If its settings contain no `cluster`.
    pub fn cluster(&self) -> SocketAddr {
        address_in(&self.wait_for_log(&["event=cluster"]), " address=")
    }

    /// The process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a line of the log that contains all of `parts`.
    ///
    /// # Panics
    ///
    /// If there is no such line in time; the message contains the log.
    pub fn wait_for_log(&self, parts: &[&str]) -> String {
        let line = self.log.wait_for(parts);
        line.unwrap_or_else(|| panic!("no line with {parts:?} in the log:\n{}", self.log.text()))
    }

    /// The log so far.
    pub fn log(&self) -> String {
        self.log.text()
    }

    /// Sends a signal by its name, such as `TERM`.
    ///
    /// # Panics
    ///
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
        assert!(
            kill.is_ok_and(|status| status.success()),
            "sending SIG{name} to the process failed"
        );
    }

    /// Kills the process with SIGKILL.
    pub fn kill(mut self) {
        self.terminate();
    }

    /// Waits for the process to exit by itself and returns its exit code; none if a signal ended
    /// it.
    ///
    /// # Panics
    ///
    /// If waiting fails.
    pub fn wait(mut self) -> Option<i32> {
        self.child.wait().expect("the process can be waited for").code()
    }

    /// Waits for the process to exit by itself and returns its log.
    ///
    /// # Panics
    ///
    /// If waiting fails.
    pub fn wait_with_log(mut self) -> String {
        self.child.wait().expect("the process can be waited for");
        self.log()
    }

    fn proc_file(&self, name: &str) -> String {
        let path = format!("/proc/{}/{name}", self.id());
        std::fs::read_to_string(path).expect("the process is running")
    }

    /// Resident memory of the process in bytes.
    ///
    /// # Panics
    ///
    /// If the process has exited.
    pub fn resident_bytes(&self) -> u64 {
        self.status_bytes("VmRSS:")
    }

    /// Peak resident memory of the process in bytes.
    ///
    /// # Panics
    ///
    /// If the process has exited.
    pub fn peak_resident_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    fn status_bytes(&self, key: &str) -> u64 {
        let status = self.proc_file("status");
        let line = status.lines().find_map(|line| line.strip_prefix(key));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB"));
        kib.and_then(|kib| kib.trim().parse::<u64>().ok()).expect("a size in kB") * 1_024
    }

    /// Processor time used by the process in seconds, from the kernel's 100 ticks per second.
    ///
    /// # Panics
    ///
    /// If the process has exited.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = self.proc_file("stat");
        let fields = stat.rsplit(')').next().expect("a line of fields");
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks.map(|ticks| ticks.parse::<f64>().expect("a number of ticks")).sum::<f64>() / 100.0
    }

    fn terminate(&mut self) {
        // The process may have exited by itself.
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.terminate();
    }
}

fn address_in(line: &str, key: &str) -> SocketAddr {
    let after = line.split(key).nth(1).expect("the line contains the address");
    let text = after.split_whitespace().next().expect("the address is not empty");
    text.parse().expect("a valid address")
}

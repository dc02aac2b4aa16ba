//! Log output: the limit on lines per second, and readers that are slow or do not read at all.

use std::io;
use std::io::BufRead as _;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use vaneway_server::util::log_output::Admission;
use vaneway_server::util::log_output::Budgets;
use vaneway_server::util::log_output::MAX_BUFFERED_BYTES;
use vaneway_server::util::log_output::MAX_LINES_PER_SECOND;
use vaneway_server::util::log_output::Output;
use vaneway_server::util::log_output::Sink;
use vaneway_test_support::Caller;
use vaneway_test_support::ports;

use crate::support::block_on;

#[test]
fn lines_beyond_the_budget_of_a_second_are_left_out_and_counted() {
    let mut budgets = Budgets::default();
    let start = Instant::now();
    let admitted = Admission { written: true, suppressed: vec![] };
    for _ in 0..MAX_LINES_PER_SECOND {
        assert_eq!(budgets.admit(start, "refused"), admitted);
    }
    let too_many = Admission { written: false, suppressed: vec![] };
    assert_eq!(budgets.admit(start, "refused"), too_many);
    assert_eq!(budgets.admit(start, "refused"), too_many);
    assert_eq!(budgets.admit(start, "started"), admitted, "each event has its own budget");
    let later = start + Duration::from_secs(1);
    let with_suppressed = Admission { written: true, suppressed: vec![("refused".to_owned(), 2)] };
    assert_eq!(budgets.admit(later, "started"), with_suppressed);
    assert_eq!(budgets.admit(later, "refused"), admitted);
}

/// Reader of a log that accepts all bytes while it is open, and none otherwise.
#[derive(Debug, Default)]
struct Reader {
    open: bool,
    received: Vec<u8>,
}

impl Write for Reader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        assert!(self.open, "a write would block");
        self.received.extend(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Sink for Reader {
    fn is_writable(&self) -> bool {
        self.open
    }
}

#[test]
fn lines_wait_for_a_reader_that_is_behind_and_beyond_a_limit_are_dropped_and_counted() {
    let mut output = Output::new(Reader::default());
    let line = format!("{}\n", "x".repeat(99));
    let fit = MAX_BUFFERED_BYTES / line.len();
    for _ in 0..fit + 7 {
        output.write_all(line.as_bytes()).expect("the line is buffered or dropped");
    }
    assert_eq!(output.buffered(), fit * line.len());
    output.sink().open = true;
    output.write_all(b"last\n").expect("the reader accepts the line");
    assert_eq!(output.buffered(), 0);
    output.write_all(b"after\n").expect("the reader accepts the line");
    let received = String::from_utf8(std::mem::take(&mut output.sink().received)).expect("text");
    let complete = received.lines().filter(|written_line| **written_line == line[..99]).count();
    assert_eq!(complete, fit);
    let rest: Vec<_> = received.lines().skip(fit).collect();
    assert_eq!(rest, ["level=warn event=log_lines_dropped count=7", "last", "after"]);
}

/// Size of a pipe that is full after few lines, in bytes.
const SMALL_PIPE: usize = 4_096;

/// Timeout of all requests of a test; far longer than they need.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

fn statuses_of(entry: SocketAddr, requests: u32) -> Vec<u16> {
    let caller = Caller::new(entry, "key");
    block_on(async {
        let mut statuses = Vec::new();
        for i in 0..requests {
            let id = format!("q{i}");
            let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "900")];
            let response = caller.send_with(hyper::Method::GET, "/x", &headers, "").await;
            statuses.push(response.status);
        }
        statuses
    })
}

#[test]
fn requests_are_answered_while_nobody_reads_the_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let settings = json!({
        "name": "entry-1",
        "availability_zone": "a",
        "availability_zones": ["a"],
        "listen": "127.0.0.1:0",
        "operators": { "listen": "127.0.0.1:0" },
        // Nothing listens on this port, so that each request is refused, which is logged.
        "control": { "seeds": ["127.0.0.1:9"], "port": 9 },
    });
    let file = folder.path().join("entry-1.json");
    std::fs::write(&file, settings.to_string()).expect("the settings can be written");
    let mut child = Command::new(Path::new(env!("CARGO_BIN_EXE_vaneway")))
        .args(["run", "--adapter", "platform"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    rustix::pipe::fcntl_setpipe_size(&stdout, SMALL_PIPE).expect("the pipe can be made smaller");
    let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
    let started =
        lines.find(|line| line.contains("event=started")).expect("the process logs its start");
    let listen = started.split(" listen=").nth(1).and_then(|rest| rest.split(' ').next());
    let listen: SocketAddr = listen.and_then(|l| l.parse().ok()).expect("an address");
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || tx.send(statuses_of(listen, 150)));
    let statuses = rx.recv_timeout(RESPONSE_TIMEOUT);
    child.kill().expect("the process is running");
    child.wait().expect("the process exits");
    assert_eq!(
        statuses.as_deref(),
        Ok(&[503; 150][..]),
        "a process that blocks on its log sends no responses"
    );
    let refused = lines.filter(|line| line.contains("event=request_refused")).count();
    assert!((1..150).contains(&refused), "the pipe was to be full before the last line: {refused}");
}

/// Guards against a buffered line that is not written before the process logs another one, which
/// may never happen.
#[test]
fn line_that_waited_for_its_reader_arrives_though_none_follows() {
    let listen = ports::reserve();
    let folder = tempfile::tempdir().expect("a folder");
    let settings = json!({
        "name": "entry-1",
        "availability_zone": "a",
        "availability_zones": ["a"],
        "listen": listen,
        "operators": { "listen": "127.0.0.1:0" },
        "control": { "seeds": ["127.0.0.1:9"], "port": 9 },
    });
    let file = folder.path().join("entry-1.json");
    std::fs::write(&file, settings.to_string()).expect("the settings can be written");
    let (reader, writer) = std::io::pipe().expect("a pipe");
    rustix::pipe::fcntl_setpipe_size(&reader, SMALL_PIPE).expect("the pipe can be made smaller");
    let mut child = Command::new(Path::new(env!("CARGO_BIN_EXE_vaneway")))
        .args(["run", "--adapter", "platform"])
        .arg(&file)
        .stdout(writer)
        .spawn()
        .expect("the process starts");
    // Once the process responds, its first line has filled the pipe, and the line on its start is
    // buffered.
    let end = Instant::now() + RESPONSE_TIMEOUT;
    while TcpStream::connect(listen).is_err() && Instant::now() < end {
        std::thread::yield_now();
    }
    assert_eq!(statuses_of(listen, 1), [503]);
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let mut lines = BufReader::new(reader).lines().map_while(Result::ok);
        tx.send(lines.any(|line| line.contains("event=started")))
    });
    let arrived = rx.recv_timeout(RESPONSE_TIMEOUT);
    child.kill().expect("the process is running");
    child.wait().expect("the process exits");
    assert_eq!(arrived, Ok(true));
}

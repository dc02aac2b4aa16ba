//! Checks that the tables of docs/CAPACITY.md follow from the committed measurements.

use std::fmt::Write as _;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Value;
use vaneway_marks::DIGEST_FANOUT;
use vaneway_marks::Message;
use vaneway_marks::TICK_INTERVAL;
use vaneway_server::core::cluster::datagram::Envelope;
use vaneway_server::core::cluster::datagram::seal;

/// Environment variable: if set, the test writes the tables instead of comparing them.
const BLESS: &str = "VANEWAY_BLESS";

const BEGIN: &str = "<!-- tables: begin -->";
const END: &str = "<!-- tables: end -->";

/// Target deployment, from the users' requirements.
mod target {
    /// Nodes that run an entry box.
    pub const NODES: f64 = 350.0;
    /// Replicas that they proxy requests to.
    pub const REPLICAS: f64 = 2_100.0;
    /// Requests a second at the peak.
    pub const REQUESTS: f64 = 5_900.0;
    /// Tokens a second at the peak.
    pub const TOKENS: f64 = 2_600_000.0;
    /// Seconds to the first token.
    pub const FIRST_TOKEN: f64 = 0.61;
    /// Seconds between tokens.
    pub const BETWEEN_TOKENS: f64 = 0.031;
    /// Availability zones.
    pub const ZONES: f64 = 13.0;
    /// Maximum share of a core that control work may use on a node.
    pub const CORES: f64 = 0.023;
    /// Maximum memory in bytes that control work may use on a node.
    pub const MEMORY: f64 = 256e6;
    /// Maximum network traffic of control work on a node, in bytes a second.
    pub const BYTES: f64 = 3_000.0;
}

/// Assumptions where the users' requirements give no number.
mod assumed {
    /// Organisations.
    pub const ORGANISATIONS: f64 = 500.0;
    /// Share of requests that carry an idempotency key and may not be repeated.
    pub const KEYED: f64 = 0.1;
    /// Retention of a claim, in seconds.
    pub const RETENTION: f64 = 86_400.0;
}

struct Slopes(Vec<Value>);

impl Slopes {
    fn read(root: &Path) -> Self {
        let text = std::fs::read_to_string(root.join("docs/measurements/slopes.jsonl")).unwrap();
        Self(text.lines().map(|line| serde_json::from_str(line).unwrap()).collect())
    }

    fn find(&self, slope: &str, of: &str) -> &Value {
        let found = self.0.iter().find(|line| line["slope"] == slope && line["of"] == of);
        found.unwrap_or_else(|| panic!("no slope `{slope}` of `{of}`"))
    }

    fn per_one(&self, slope: &str, of: &str) -> f64 {
        self.find(slope, of)["per_one"].as_f64().unwrap()
    }

    fn base(&self, slope: &str, of: &str) -> f64 {
        self.find(slope, of)["base"].as_f64().unwrap()
    }
}

/// Formats a value with three significant digits and an SI prefix.
fn format_quantity(value: f64, unit: &str) -> String {
    let (value, prefix) = match value.abs() {
        v if v >= 1e9 => (value / 1e9, "G"),
        v if v >= 1e6 => (value / 1e6, "M"),
        v if v >= 1e3 => (value / 1e3, "k"),
        v if v >= 1.0 || v == 0.0 => (value, ""),
        v if v >= 1e-3 => (value * 1e3, "m"),
        v if v >= 1e-6 => (value * 1e6, "µ"),
        _ => (value * 1e9, "n"),
    };
    let digits = if value.abs() >= 100.0 {
        0
    } else if value.abs() >= 10.0 {
        1
    } else {
        2
    };
    format!("{value:.digits$} {prefix}{unit}").trim_end().to_owned()
}

/// Table of the measured slopes.
fn slope_table(slopes: &Slopes) -> String {
    let mut table =
        "| cost | for each | slope | base | residual |\n|---|---|---|---|---|\n".to_owned();
    for line in &slopes.0 {
        let text = |name: &str| line[name].as_str().unwrap().to_owned();
        let number = |name: &str| line[name].as_f64().unwrap();
        let unit = match text("unit").as_str() {
            "bytes" => "B",
            "seconds" => "s",
            "cores" => "core",
            other => panic!("unknown unit `{other}`"),
        };
        writeln!(
            table,
            "| {} | {} | {} | {} | {:.1}% |",
            text("slope"),
            text("of"),
            format_quantity(number("per_one"), unit),
            format_quantity(number("base"), unit),
            number("residual") * 100.0
        )
        .unwrap();
    }
    table
}

/// One row of the target table: the quantity, its calculation, the result, and the limit if any.
fn row(what: &str, sum: &str, value: f64, unit: &str, limit: Option<f64>) -> String {
    let (limit, verdict) = match limit {
        None => ("-".to_owned(), "-"),
        Some(limit) if value <= limit => (format_quantity(limit, unit), "holds"),
        Some(limit) => (format_quantity(limit, unit), "**breaks**"),
    };
    format!("| {what} | {sum} | {} | {limit} | {verdict} |\n", format_quantity(value, unit))
}

/// Table of the load on one node at the target.
fn target_table(slopes: &Slopes) -> String {
    let header = "| on one of 350 nodes | worked out as | at the target | limit | |\n\
                  |---|---|---|---|---|\n";
    header.to_owned() + &data_rows(slopes) + &control_rows(slopes) + &claim_rows(slopes)
}

/// Requests a second at one node.
fn requests() -> f64 {
    target::REQUESTS / target::NODES
}

/// Requests a second at one node that carry an idempotency key, so that they need a claim.
fn keyed_requests() -> f64 {
    requests() * assumed::KEYED
}

fn data_rows(slopes: &Slopes) -> String {
    let tokens = target::TOKENS / target::NODES;
    let length = target::TOKENS / target::REQUESTS;
    let open = requests() * (target::FIRST_TOKEN + length * target::BETWEEN_TOKENS);
    let memory = slopes.per_one("memory", "open streams");
    let token = slopes.per_one("processor", "tokens a second");
    let per_request = slopes.per_one("processor", "calls a second");
    let requests = requests();
    let open_sum = format!(
        "{requests:.1}/s × ({} s + {length:.0} × {} s)",
        target::FIRST_TOKEN,
        target::BETWEEN_TOKENS
    );
    let memory_sum = format!("{open:.0} × {}", format_quantity(memory, "B"));
    let token_sum = format!("{tokens:.0}/s × {}", format_quantity(token, "core"));
    let request_sum = format!("{requests:.1}/s × {}", format_quantity(per_request, "core"));
    row("open streams", &open_sum, open, "", None)
        + &row("memory of streams", &memory_sum, open * memory, "B", None)
        + &row("processor for tokens", &token_sum, tokens * token, "core", None)
        + &row("processor for calls", &request_sum, requests * per_request, "core", None)
}

/// IPv4 and UDP headers of a datagram, in bytes.
const DATAGRAM_HEADERS: f64 = 28.0;

/// Size of a sealed digest datagram, in bytes.
fn digest_bytes() -> f64 {
    let message = Message::Digest { digest: u64::MAX, answers: false };
    let envelope = Envelope { from: "entry-gaillimh-hall-1".to_owned(), message };
    seal("any key", &envelope).len() as f64
}

fn control_rows(slopes: &Slopes) -> String {
    let replica = slopes.per_one("memory", "replicas");
    let organisation = slopes.per_one("memory", "organisations");
    let process = slopes.base("memory", "replicas");
    let idle = slopes.per_one("processor at rest", "replicas");
    let choice = slopes.per_one("choice", "endpoints");
    let claim = slopes.per_one("processor", "claims");
    let list = slopes.per_one("list", "boxes");
    let replicas = target::REPLICAS;
    let zone = replicas / target::ZONES;
    let (requests, keyed_requests) = (requests(), keyed_requests());
    let memory = process + replica * replicas + organisation * assumed::ORGANISATIONS;
    let memory_sum = format!(
        "{} + {} × {replicas} replicas + {} × {} organisations",
        format_quantity(process, "B"),
        format_quantity(replica, "B"),
        format_quantity(organisation, "B"),
        assumed::ORGANISATIONS
    );
    let cores = idle * replicas + choice * replicas * requests + claim * keyed_requests;
    let cores_sum = format!(
        "{} × {replicas} at rest + {} × {replicas} × {requests:.1}/s choices + {} × {keyed_requests:.2}/s claims",
        format_quantity(idle, "core"),
        format_quantity(choice, "s"),
        format_quantity(claim, "s")
    );
    let all_boxes_sum = format!("{replicas} × {}/s", format_quantity(list, "B"));
    let zone_sum = format!("{zone:.0} × {} / 30 s", format_quantity(list, "B"));
    let bytes = Some(target::BYTES);
    let digest = digest_bytes() + DATAGRAM_HEADERS;
    let digests = 2.0 * DIGEST_FANOUT as f64 / TICK_INTERVAL.as_secs_f64();
    let marks_sum = format!("{digests:.0}/s in and out × {}", format_quantity(digest, "B"));
    row("control: memory of the configuration", &memory_sum, memory, "B", Some(target::MEMORY))
        + &row("control: processor", &cores_sum, cores, "core", Some(target::CORES))
        + &row("control: every box, each second", &all_boxes_sum, replicas * list, "B/s", bytes)
        + &row("control: comparing marks", &marks_sum, digests * digest, "B/s", bytes)
        + &row("control: the zone's boxes, every 30 s", &zone_sum, zone * list / 30.0, "B/s", bytes)
}

fn claim_rows(slopes: &Slopes) -> String {
    let memory = slopes.per_one("memory", "claims");
    let restart = slopes.per_one("restart", "claims");
    let own_claims = keyed_requests() * assumed::RETENTION;
    let zone = own_claims * target::NODES / target::ZONES;
    let own_claims_sum = format!(
        "{:.2}/s × {} s × {}",
        keyed_requests(),
        assumed::RETENTION,
        format_quantity(memory, "B")
    );
    let zone_sum = format!("{zone:.0} × {}", format_quantity(memory, "B"));
    let restart_sum = format!("{own_claims:.0} × {}", format_quantity(restart, "s"));
    let limit = Some(target::MEMORY);
    row("control: memory of this box's claims", &own_claims_sum, own_claims * memory, "B", limit)
        + &row("control: memory of a zone's claims", &zone_sum, zone * memory, "B", limit)
        + &row("restart with the day's own claims", &restart_sum, own_claims * restart, "s", None)
}

#[test]
fn tables_follow_from_the_committed_measurements() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let slopes = Slopes::read(&root);
    let tables = format!("{BEGIN}\n\n{}\n{}\n{END}", slope_table(&slopes), target_table(&slopes));
    let page = root.join("docs/CAPACITY.md");
    let text = std::fs::read_to_string(&page).unwrap();
    let (before, rest) = text.split_once(BEGIN).unwrap();
    let (_, after) = rest.split_once(END).unwrap();
    let expected = format!("{before}{tables}{after}");
    if std::env::var_os(BLESS).is_some() {
        std::fs::write(&page, &expected).unwrap();
    }
    let text = std::fs::read_to_string(&page).unwrap();
    assert!(text == expected, "run this test with {BLESS}=1 and commit docs/CAPACITY.md");
}

//! Counters and histograms for operators, with bounded label sets.
//!
//! Labels take their values from the settings (services, organisations) or from fixed lists
//! (outcomes, codes), never from what a caller sends.

use prometheus::Encoder as _;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use prometheus::core::Collector;

/// Upper bounds of the latency histograms, in seconds, around the targets of 31 ms and 0.61 s.
const LATENCY_BUCKETS: [f64; 12] =
    [0.001, 0.003, 0.01, 0.031, 0.1, 0.3, 0.61, 1.0, 3.0, 10.0, 30.0, 100.0];

/// The process's metrics.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and end: `complete`, `abandoned` or an error code.
    pub requests: IntCounterVec,
    /// Attempts by service and outcome.
    pub attempts: IntCounterVec,
    /// Moves of streams by kind: `resumed`, `transferred`, `recomputed`.
    pub moves: IntCounterVec,
    /// Tokens recomputed because a stream moved, as estimated by this box.
    pub recomputed_tokens: IntCounter,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Requests refused on admission, by code.
    pub refused: IntCounterVec,
    /// Requests refused by a queue limit while ranks or organisations compete, by reason and rank.
    pub room_refused: IntCounterVec,
    /// Verdicts on requests that were running when endpoints crashed, by service.
    pub quarantine: IntCounterVec,
    /// Changes of the limits that endpoints advertise, by service: `named`, `ended` or
    /// `unreadable`.
    pub limits: IntCounterVec,
    /// Back-offs requested by endpoints in refusals, by service: `asked` or `unreadable`.
    pub backoffs: IntCounterVec,
    /// Reclaim notices received.
    pub notices: IntCounter,
    /// Datagrams dropped because of a wrong tag, format or sender.
    pub datagrams_dropped: IntCounter,
    /// Streams that callers took up, by who knew where they began.
    pub taken_up: IntCounterVec,
    /// Calls forwarded between entry boxes, by service: `sent` to a neighbour or `taken` from one.
    pub forwarded: IntCounterVec,
    /// Choices of endpoints by service, this box's availability zone and the endpoint's.
    pub zones: IntCounterVec,
    /// Requests that are open now.
    pub open: IntGauge,
    /// Services none of whose endpoints this box reaches.
    pub cut_off_services: IntGauge,
    /// Seconds from a request's arrival to its first chunk.
    pub first_token: Histogram,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name. The names are fixed here, so any test would show
    /// it.
    pub fn new() -> Self {
        let registry = Registry::new();
        let first_token = HistogramOpts::new(
            "vaneway_first_token_seconds",
            "Time from a request's arrival to its first chunk",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        Self {
            requests: vec(&registry, "requests", "Requests ended", &["service", "end"]),
            attempts: vec(&registry, "attempts", "Attempts ended", &["service", "outcome"]),
            moves: vec(&registry, "moves", "Streams moved", &["kind"]),
            recomputed_tokens: counter(&registry, "recomputed_tokens", "Tokens computed again"),
            tokens: counter(&registry, "tokens", "Tokens sent to callers"),
            refused: vec(&registry, "refused", "Requests refused at the door", &["code"]),
            room_refused: vec(
                &registry,
                "room_refused",
                "Requests refused by rank or share in a shortage",
                &["reason", "rank"],
            ),
            quarantine: vec(
                &registry,
                "quarantine",
                "Verdicts on requests under which endpoints ended",
                &["service", "verdict"],
            ),
            limits: vec(
                &registry,
                "endpoint_limits",
                "Changes of the limits that endpoints name",
                &["service", "change"],
            ),
            backoffs: vec(
                &registry,
                "endpoint_rests",
                "Rests that endpoints ask for in refusals",
                &["service", "rest"],
            ),
            forwarded: vec(
                &registry,
                "forwarded",
                "Calls forwarded between entry boxes",
                &["service", "direction"],
            ),
            zones: vec(
                &registry,
                "zone_choices",
                "Choices of endpoints by availability zone",
                &["service", "from", "to"],
            ),
            taken_up: vec(
                &registry,
                "streams_taken_up",
                "Streams that callers took up again",
                &["known_by"],
            ),
            notices: counter(&registry, "notices", "Reclaim notices seen"),
            datagrams_dropped: counter(&registry, "datagrams_dropped", "Datagrams dropped"),
            open: gauge(&registry, "open_requests", "Requests open now"),
            cut_off_services: gauge(
                &registry,
                "cut_off_services",
                "Services none of whose endpoints this box reaches",
            ),
            first_token: register(
                &registry,
                Histogram::with_opts(first_token).expect("valid metric"),
            ),
            registry,
        }
    }

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Panics
    ///
    /// Never: writing to a vector does not fail.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        written.expect("writing to a vector does not fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry.register(Box::new(metric.clone())).expect("metric names are unique");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(format!("vaneway_{name}"), help).expect("valid metric");
    register(registry, metric)
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(format!("vaneway_{name}_total"), help).expect("valid metric");
    register(registry, metric)
}

fn vec(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("vaneway_{name}_total"), help);
    register(registry, IntCounterVec::new(opts, labels).expect("valid metric"))
}

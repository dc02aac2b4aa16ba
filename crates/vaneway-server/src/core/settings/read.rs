//! Reads and validates a settings file.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr as _;
use serde_json::Value;
use vaneway_route::EndpointSpec;
use vaneway_route::Policy;

use super::ClaimSettings;
use super::CloudSettings;
use super::Cluster;
use super::ControlSettings;
use super::FollowSettings;
use super::Limits;
use super::NonRepeatable;
use super::OperatorToken;
use super::Operators;
use super::Organisation;
use super::Peer;
use super::Platform;
use super::ProcessSettings;
use super::QuotaAllowance;
use super::RetryAllowance;
use super::Routing;
use super::Service;
use super::ServiceKind;
use super::Settings;
use super::Stop;
use crate::util::findings::Fields;
use crate::util::findings::Finding;
use crate::util::findings::Findings;
use crate::util::findings::JsonNode;

/// One day in milliseconds, the maximum of all durations except for the retention of claims.
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;

/// Range of the retention of claims, up to 31 days.
const RETENTION_RANGE_MS: RangeInclusive<u64> = 1_000..=31 * DAY_MS;

/// Range of durations that may be zero.
const DURATION_RANGE_MS: RangeInclusive<u64> = 0..=DAY_MS;

/// Range of durations that must not be zero.
const NONZERO_DURATION_RANGE_MS: RangeInclusive<u64> = 1..=DAY_MS;

/// Range of sizes in bytes, up to one gibibyte.
const SIZE_RANGE_BYTES: RangeInclusive<u64> = 1..=1 << 30;

/// Minimum length of the key that the boxes share.
const MIN_KEY_BYTES: usize = 16;

/// Default port on which control boxes listen for other boxes.
const DEFAULT_CLUSTER_PORT: u64 = 7_600;

/// Minimum of the limit for the size of a request's head: the smallest read buffer that hyper
/// accepts.
const MIN_HEADER_BYTES: u64 = 8_192;

/// All findings of one settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The findings, in the order in which they were detected.
    pub findings: Vec<Finding>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.findings.len();
        write!(f, "{count} finding{} in the settings", if count == 1 { "" } else { "s" })?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads and validates the settings file of an entry box at `path`.
///
/// # Errors
///
/// If the file can't be read or has findings; the error lists all of them.
pub fn read_file(path: &Path) -> eyre::Result<Settings> {
    let context = || format!("failed to read settings `{}`", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    read(&text).wrap_err_with(context)
}

/// Reads and validates the text of an entry box's settings file.
///
/// # Errors
///
/// [`SettingsError`] lists every finding.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    read_root(text, |fields, findings| {
        let settings = read_entry_settings(fields);
        check_names(&settings, findings);
        check_deadlines(&settings, findings);
        settings
    })
}

/// Reads and validates the settings file at `path`, for either role.
///
/// # Errors
///
/// If the file can't be read or has findings; the error lists all of them.
pub fn read_process_file(path: &Path) -> eyre::Result<ProcessSettings> {
    let context = || format!("failed to read settings `{}`", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    read_process(&text).wrap_err_with(context)
}

/// Reads and validates the text of a settings file for the role in its field `role`. Without that
/// field, the settings are those of an entry box.
///
/// # Errors
///
/// [`SettingsError`] lists every finding.
pub fn read_process(text: &str) -> Result<ProcessSettings, SettingsError> {
    let role = read_root(text, |mut fields, _| {
        let role = fields.optional("role");
        role.and_then(|node| node.parse("`entry` or `control`", Role::from_name))
    })?;
    match role {
        Some(Role::Control) => {
            let settings = read_root(text, |fields, _| read_control_settings(fields))?;
            Ok(ProcessSettings::Control(Box::new(settings)))
        }
        Some(Role::Entry) | None => read(text).map(Box::new).map(ProcessSettings::Entry),
    }
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Entry,
    Control,
}

impl Role {
    fn from_name(name: &str) -> Option<Self> {
        match name {
            "entry" => Some(Self::Entry),
            "control" => Some(Self::Control),
            _ => None,
        }
    }
}

/// Parses `text` as a JSON object and reads it with `read`. Fails with all findings if there are
/// any.
fn read_root<T>(
    text: &str,
    read: impl FnOnce(Fields<'_>, &Findings) -> T,
) -> Result<T, SettingsError> {
    let value: Value = serde_json::from_str(text).map_err(|error| SettingsError {
        findings: vec![Finding { path: "$".to_owned(), message: error.to_string() }],
    })?;
    let findings = Findings::new();
    let read = JsonNode::root(&value, &findings).object().map(|fields| read(fields, &findings));
    match (read, findings.take()) {
        (Some(read), findings) if findings.is_empty() => Ok(read),
        (_, findings) => Err(SettingsError { findings }),
    }
}

fn read_entry_settings(mut fields: Fields<'_>) -> Settings {
    // Already read to choose the role; here it is only marked as known.
    fields.optional("role");
    let name = fields.string("name");
    let availability_zones = strings(&mut fields, "availability_zones");
    let availability_zone = zone(fields.required("availability_zone"), &availability_zones);
    let listen = address(fields.required("listen"));
    let operators = fields.required("operators").and_then(|node| node.object()).map(operators);
    let operators =
        operators.unwrap_or_else(|| Operators { listen: address(None), tokens: Vec::new() });
    let platform = fields.optional("platform").and_then(|node| node.object()).map(platform);
    let cluster = fields.optional("cluster").and_then(|node| node.object()).map(cluster);
    let follow = fields.optional("control").and_then(|node| node.object()).map(follow);
    let ready = fields.optional("ready").map(|node| address(Some(node)));
    let forwarded_listen = fields.optional("forwarded_listen").map(|node| address(Some(node)));
    let peers = fields.items("peers").iter().filter_map(JsonNode::object).map(peer).collect();
    let data_folder = fields.optional("data_folder").and_then(|node| node.string());
    let organisations = fields.items("organisations");
    let organisations =
        organisations.iter().filter_map(JsonNode::object).map(organisation).collect();
    let mut replicas = Vec::new();
    let mut services = Vec::new();
    let services_given =
        if follow.is_some() { fields.optional("services") } else { fields.required("services") };
    if services_given.is_some() {
        for node in fields.items("services") {
            let Some(object) = node.object() else { continue };
            let id = services.len() as u32;
            services.push(service(object, id, &availability_zones, &mut replicas));
        }
    }
    let routing = routing(fields.section("routing"));
    let limits = limits(fields.section("limits"));
    let stop = stop(fields.section("stop"));
    let claims = claims(fields.section("claims"));
    fields.finish();
    Settings {
        name,
        availability_zone,
        availability_zones,
        listen,
        operators,
        platform,
        cluster,
        follow,
        ready,
        forwarded_listen,
        peers,
        data_folder: data_folder.map(Into::into),
        organisations,
        services,
        replicas,
        routing,
        limits,
        stop,
        claims,
    }
}

fn read_control_settings(mut fields: Fields<'_>) -> ControlSettings {
    fields.optional("role");
    let cluster_listen = address(fields.required("cluster_listen"));
    let settings = ControlSettings {
        name: fields.string("name"),
        availability_zone: fields.string("availability_zone"),
        listen: address(fields.required("listen")),
        operators: fields.optional("operators").map(|node| address(Some(node))),
        cluster_listen,
        seeds: seeds(&mut fields, cluster_listen.port()),
        form_group: fields.optional("form_group").and_then(|p| p.boolean()).unwrap_or(false),
        data_folder: fields.string("data_folder").into(),
        snapshot_entries: fields.integer("snapshot_entries", 1..=1_000_000, 256),
        restored_retention: millis(&mut fields, "remembered_ms", DURATION_RANGE_MS, 2_500),
        window: seconds(&mut fields, "usage_window_s", 60.0),
        cloud: fields.optional("cloud").and_then(|node| node.object()).map(cloud),
        capacity: capacity(fields.section("capacity")),
    };
    if !cluster_listen.is_ipv4() {
        fields.node().report("`cluster_listen` must be an IPv4 address");
    }
    fields.finish();
    settings
}

fn capacity(mut fields: Fields<'_>) -> vaneway_capacity::Policy {
    let default = vaneway_capacity::Policy::default();
    let kept = default.demand_kept.as_secs_f64();
    let distrust = default.distrust.as_secs_f64();
    let policy = vaneway_capacity::Policy {
        busy_most: fields.float("busy_most", 0.05..=10.0, default.busy_most),
        busy_scarce: fields.float("busy_scarce", 0.05..=10.0, default.busy_scarce),
        on_demand_least: fields.integer(
            "on_demand_least",
            0..=1_000,
            default.on_demand_least.into(),
        ) as u32,
        last_share: fields.float("last_share", 0.0..=10.0, default.last_share),
        demand_kept: Duration::from_secs_f64(fields.float("demand_kept_s", 0.0..=86_400.0, kept)),
        scarce_kept: Duration::from_secs_f64(fields.float(
            "scarce_kept_s",
            0.0..=86_400.0,
            default.scarce_kept.as_secs_f64(),
        )),
        distrust: Duration::from_secs_f64(fields.float("distrust_s", 0.0..=86_400.0, distrust)),
    };
    fields.finish();
    policy
}

fn cloud(mut fields: Fields<'_>) -> CloudSettings {
    let duties = strings(&mut fields, "duties");
    let settings = CloudSettings {
        address: address(fields.required("address")),
        usage_reports: duties.iter().any(|duty| duty == "usage"),
        capacity_orders: duties.iter().any(|duty| duty == "capacity"),
    };
    fields.finish();
    settings
}

fn follow(mut fields: Fields<'_>) -> FollowSettings {
    let port = fields.integer("port", 1..=u64::from(u16::MAX), DEFAULT_CLUSTER_PORT) as u16;
    let settings = FollowSettings {
        seeds: seeds(&mut fields, port),
        window: seconds(&mut fields, "usage_window_s", 60.0),
        quota: quota(fields.section("quota")),
        retries: retries(fields.section("retries")),
    };
    fields.finish();
    settings
}

fn quota(mut fields: Fields<'_>) -> QuotaAllowance {
    let allowance = QuotaAllowance {
        window: seconds(&mut fields, "window_s", 10.0),
        overage: fields.float("overage", 0.0..=10.0, 0.0),
        slack: fields.float("slack", 0.0..=1e12, 0.0),
    };
    fields.finish();
    allowance
}

fn retries(mut fields: Fields<'_>) -> RetryAllowance {
    let allowance = RetryAllowance {
        share: fields.float("share", 0.0..=10.0, 0.1),
        slack: fields.float("slack", 0.0..=1e9, 20.0),
    };
    fields.finish();
    allowance
}

/// Reads an optional duration in seconds, which may have a fraction.
fn seconds(fields: &mut Fields<'_>, name: &'static str, default: f64) -> Duration {
    Duration::from_secs_f64(fields.float(name, 0.001..=86_400.0, default))
}

/// Reads the addresses of control boxes. Any address of a control box may be given: its port is
/// replaced by `port`, which all control boxes use for other boxes.
fn seeds(fields: &mut Fields<'_>, port: u16) -> Vec<SocketAddr> {
    let seeds = fields.items("seeds");
    if seeds.is_empty() {
        fields.node().report("field `seeds` must list at least one control box");
    }
    let mut addresses = seeds.into_iter().map(|node| address(Some(node)));
    let mut addresses: Vec<_> = addresses.by_ref().collect();
    for address in &mut addresses {
        address.set_port(port);
    }
    addresses
}

fn strings(fields: &mut Fields<'_>, name: &'static str) -> Vec<String> {
    fields.items(name).iter().filter_map(JsonNode::string).collect()
}

fn millis(
    fields: &mut Fields<'_>,
    name: &'static str,
    range: RangeInclusive<u64>,
    default: u64,
) -> Duration {
    Duration::from_millis(fields.integer(name, range, default))
}

/// Reads an address. Returns the unspecified address if it is missing or invalid; a finding has
/// been added then.
fn address(node: Option<JsonNode<'_>>) -> SocketAddr {
    let expected = "an IP address and port such as `127.0.0.1:8080`";
    node.and_then(|node| node.parse(expected, |text| text.parse().ok()))
        .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn zone(node: Option<JsonNode<'_>>, known: &[String]) -> String {
    let expected = format!("one of the availability zones ({})", known.join(", "));
    let known = |text: &str| known.iter().find(|zone| *zone == text).cloned();
    node.and_then(|node| node.parse(&expected, known)).unwrap_or_default()
}

fn operators(mut fields: Fields<'_>) -> Operators {
    let listen = address(fields.required("listen"));
    let tokens = fields.items("tokens");
    let tokens = tokens.iter().filter_map(JsonNode::object).map(|mut fields| {
        let token = OperatorToken { name: fields.string("name"), token: fields.string("token") };
        fields.finish();
        token
    });
    let operators = Operators { listen, tokens: tokens.collect() };
    fields.finish();
    operators
}

fn platform(mut fields: Fields<'_>) -> Platform {
    let platform = Platform {
        address: address(fields.required("address")),
        list_interval: millis(&mut fields, "list_every_ms", NONZERO_DURATION_RANGE_MS, 1_000),
        notice_poll_timeout: millis(
            &mut fields,
            "notice_wait_ms",
            NONZERO_DURATION_RANGE_MS,
            20_000,
        ),
    };
    fields.finish();
    platform
}

fn cluster(mut fields: Fields<'_>) -> Cluster {
    let cluster = Cluster { listen: address(fields.required("listen")), key: fields.string("key") };
    if cluster.key.len() < MIN_KEY_BYTES {
        let message = format!("`key` must have at least {MIN_KEY_BYTES} characters");
        fields.node().report(message);
    }
    fields.finish();
    cluster
}

fn peer(mut fields: Fields<'_>) -> Peer {
    let peer = Peer { name: fields.string("name"), address: address(fields.required("address")) };
    fields.finish();
    peer
}

fn organisation(mut fields: Fields<'_>) -> Organisation {
    let organisation = Organisation {
        name: fields.string("name"),
        token: fields.string("token"),
        priority: fields.integer("priority", 0..=9, 5) as u8,
    };
    fields.finish();
    organisation
}

fn service(
    mut fields: Fields<'_>,
    id: u32,
    zones: &[String],
    replicas: &mut Vec<EndpointSpec>,
) -> Service {
    let name = fields.string("name");
    let kind = fields.required("kind").and_then(|node| {
        node.parse("`model` or `plain`", |text| match text {
            "model" => Some(ServiceKind::Model),
            "plain" => Some(ServiceKind::Plain),
            _ => None,
        })
    });
    let kind = kind.unwrap_or(ServiceKind::Plain);
    let models = strings(&mut fields, "models");
    match (kind, models.is_empty()) {
        (ServiceKind::Model, true) => {
            fields.node().report("a model service needs `models`, add at least one");
        }
        (ServiceKind::Plain, false) => {
            fields.node().report("a plain service has no `models`, remove them");
        }
        _ => {}
    }
    let max_open = fields.integer("max_open", 1..=100_000, 64) as u32;
    for node in fields.items("replicas") {
        let Some(object) = node.object() else { continue };
        replicas.push(replica(object, id, max_open, zones));
    }
    let non_repeatable = fields.items("non_repeatable");
    let non_repeatable =
        non_repeatable.iter().filter_map(JsonNode::object).map(non_repeatable_call).collect();
    let service = Service {
        name,
        kind,
        models,
        non_repeatable,
        not_run_header: fields.optional("not_run_header").and_then(|node| node.string()),
        deadline: millis(&mut fields, "deadline_ms", NONZERO_DURATION_RANGE_MS, 60_000),
        endpoint_wait_timeout: millis(&mut fields, "patience_ms", DURATION_RANGE_MS, 2_000),
        stall_timeout: millis(&mut fields, "stall_ms", NONZERO_DURATION_RANGE_MS, 10_000),
        max_attempts: fields.integer("max_attempts", 1..=20, 4) as u32,
        retry_percent: fields.integer("retry_percent", 0..=100, 10) as u32,
    };
    fields.finish();
    service
}

fn replica(mut fields: Fields<'_>, service: u32, max_open: u32, zones: &[String]) -> EndpointSpec {
    let name = fields.string("name");
    let spec = EndpointSpec {
        service,
        address: address(fields.required("address")),
        availability_zone: zone(fields.required("availability_zone"), zones),
        box_name: fields.optional("box").and_then(|node| node.string()).unwrap_or(name.clone()),
        reclaimable: fields.optional("reclaimable").and_then(|p| p.boolean()).unwrap_or(true),
        max_open,
        software: String::new(),
        name,
    };
    fields.finish();
    spec
}

fn non_repeatable_call(mut fields: Fields<'_>) -> NonRepeatable {
    let expected = "a method in capitals such as `POST`";
    let method = fields.required("method").and_then(|node| {
        node.parse(expected, |text| {
            let capitals = !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
            capitals.then(|| text.to_owned())
        })
    });
    let path = fields.required("path").and_then(|node| {
        node.parse("a path that begins with `/`", |text| {
            text.starts_with('/').then(|| text.to_owned())
        })
    });
    fields.finish();
    NonRepeatable { method: method.unwrap_or_default(), path: path.unwrap_or_default() }
}

fn routing(mut fields: Fields<'_>) -> Routing {
    let names: Vec<_> = Policy::ALL.iter().map(|policy| policy.name()).collect();
    let expected = format!("one of {}", names.join(", "));
    let policy = fields.optional("policy").and_then(|p| p.parse(&expected, Policy::from_name));
    let routing = Routing {
        policy: policy.unwrap_or_default(),
        seed: fields.integer("seed", 0..=u64::MAX, 1),
        fresh_for_at_most_once: fields
            .optional("fresh_for_at_most_once")
            .and_then(|node| node.boolean())
            .unwrap_or(true),
    };
    fields.finish();
    routing
}

fn limits(mut fields: Fields<'_>) -> Limits {
    let limits = Limits {
        header_bytes: fields.integer("header_bytes", MIN_HEADER_BYTES..=1 << 20, 16_384) as usize,
        body_bytes: fields.integer("body_bytes", SIZE_RANGE_BYTES, 4 << 20) as usize,
        stream_bytes: fields.integer("stream_bytes", SIZE_RANGE_BYTES, 64 << 10) as usize,
        answer_bytes: fields.integer("answer_bytes", SIZE_RANGE_BYTES, 1 << 20) as usize,
        open_requests: fields.integer("open_requests", 1..=1_000_000, 20_000) as usize,
        caller_stall_timeout: millis(
            &mut fields,
            "caller_stall_ms",
            NONZERO_DURATION_RANGE_MS,
            30_000,
        ),
    };
    fields.finish();
    limits
}

fn stop(mut fields: Fields<'_>) -> Stop {
    let stop = Stop {
        accept_grace: millis(&mut fields, "accept_ms", DURATION_RANGE_MS, 2_000),
        drain_timeout: millis(&mut fields, "finish_ms", DURATION_RANGE_MS, 120_000),
    };
    fields.finish();
    stop
}

fn claims(mut fields: Fields<'_>) -> ClaimSettings {
    let claims = ClaimSettings {
        retention: millis(&mut fields, "retention_ms", RETENTION_RANGE_MS, DAY_MS),
        snapshot_bytes: fields.integer("snapshot_bytes", SIZE_RANGE_BYTES, 16 << 20),
    };
    fields.finish();
    claims
}

/// Checks that names, tokens and addresses are unique where they must be, and that the peers and
/// the operators' address don't conflict with the box's own settings.
fn check_names(settings: &Settings, findings: &Findings) {
    let mut unique = UniqueValues::new(findings);
    for (i, service) in settings.services.iter().enumerate() {
        unique.add("service", format!("$.services[{i}].name"), &service.name);
        for (j, model) in service.models.iter().enumerate() {
            unique.add("model", format!("$.services[{i}].models[{j}]"), model);
        }
    }
    for (i, organisation) in settings.organisations.iter().enumerate() {
        let path = format!("$.organisations[{i}]");
        unique.add("organisation", format!("{path}.name"), &organisation.name);
        unique.add("token", format!("{path}.token"), &organisation.token);
    }
    let mut position = BTreeMap::new();
    for replica in &settings.replicas {
        let i = position.entry(replica.service).or_insert(0_usize);
        let path = format!("$.services[{}].replicas[{i}]", replica.service);
        *i += 1;
        unique.add("replica", format!("{path}.name"), &replica.name);
        unique.add("address", format!("{path}.address"), &replica.address.to_string());
    }
    for (i, peer) in settings.peers.iter().enumerate() {
        if peer.name == settings.name {
            let message = "a box can't be its own peer, list only the others";
            findings.report(format!("$.peers[{i}].name"), message);
        }
        unique.add("peer", format!("$.peers[{i}].name"), &peer.name);
    }
    if settings.cluster.is_none() && !settings.peers.is_empty() {
        let message = "peers need `$.cluster` with `listen` and `key`, add it";
        findings.report("$.peers", message);
    }
    if settings.forwarded_listen.is_some_and(|listen| listen.ip().is_unspecified()) {
        let message = "other boxes can't connect to an unspecified address, set one of this box";
        findings.report("$.forwarded_listen", message);
    }
    if settings.listen == settings.operators.listen && settings.listen.port() != 0 {
        let message = "same address as `$.listen`, set a different one for operators";
        findings.report("$.operators.listen", message);
    }
}

/// Checks that a planned stop gives every request the full time until its deadline.
fn check_deadlines(settings: &Settings, findings: &Findings) {
    for (i, service) in settings.services.iter().enumerate() {
        if service.deadline > settings.stop.drain_timeout {
            let message = format!(
                "longer than `$.stop.finish_ms` ({}), so a planned stop could cut a request off; \
                 shorten it or raise `finish_ms`",
                settings.stop.drain_timeout.as_millis()
            );
            findings.report(format!("$.services[{i}].deadline_ms"), message);
        }
    }
}

/// Reports values that occur more than once.
struct UniqueValues<'a> {
    /// The path of the first occurrence of each value, by kind and value.
    seen: BTreeMap<(&'static str, String), String>,
    findings: &'a Findings,
}

impl<'a> UniqueValues<'a> {
    fn new(findings: &'a Findings) -> Self {
        Self { seen: BTreeMap::new(), findings }
    }

    fn add(&mut self, kind: &'static str, path: String, name: &str) {
        if name.is_empty() {
            return;
        }
        let first = self.seen.entry((kind, name.to_owned())).or_insert_with(|| path.clone());
        if *first != path {
            let shown = if kind == "token" { "this token" } else { name };
            self.findings.report(path, format!("{shown} is already used at {first}"));
        }
    }
}
